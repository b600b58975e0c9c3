package org.dragonflyhill.core;

import java.time.Duration;
import java.util.Optional;

/**
 * An error as a caller sees it.
 *
 * <pre>{@code
 * Refusal.notRun(RefusalReason.QUEUE_FULL, "no room for 3 s").retryAfter(Duration.ofSeconds(3));
 * }</pre>
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param reason stable reason
 * @param execution whether the request was run
 * @param detail one sentence for people
 * @param retryAfter when to come back, where a retry makes sense
 */
public record Refusal(
    RefusalReason reason, Execution execution, String detail, Optional<Duration> retryAfter) {

  /** Returns a refusal of a request that was not run and will not be. */
  public static Refusal notRun(RefusalReason reason, String detail) {
    return new Refusal(reason, Execution.NO, detail, Optional.empty());
  }

  /** Returns an error of a request that may have been run. */
  public static Refusal unknown(RefusalReason reason, String detail) {
    return new Refusal(reason, Execution.UNKNOWN, detail, Optional.empty());
  }

  /** Returns an error of a request that was run. */
  public static Refusal ran(RefusalReason reason, String detail) {
    return new Refusal(reason, Execution.YES, detail, Optional.empty());
  }

  /** Returns the same refusal with a time to come back. */
  public Refusal withRetryAfter(Duration time) {
    return new Refusal(reason, execution, detail, Optional.of(time));
  }
}
