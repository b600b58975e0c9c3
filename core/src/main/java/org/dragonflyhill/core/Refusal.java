package org.dragonflyhill.core;

import java.time.Duration;
import java.util.Optional;

/**
 * An error response to a caller.
 *
 * <pre>{@code
 * Refusal.notRun(RefusalReason.QUEUE_FULL, "the queue is full")
 *     .withRetryAfter(Duration.ofSeconds(3));
 * }</pre>
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param reason machine-readable reason
 * @param execution whether the request was run
 * @param detail human-readable explanation
 * @param retryAfter delay before a retry; empty if the response names none
 */
public record Refusal(
    RefusalReason reason, Execution execution, String detail, Optional<Duration> retryAfter) {

  /** Returns an error for a request that was not run and will not be. */
  public static Refusal notRun(RefusalReason reason, String detail) {
    return new Refusal(reason, Execution.NO, detail, Optional.empty());
  }

  /** Returns an error for a request that may have been run. */
  public static Refusal unknown(RefusalReason reason, String detail) {
    return new Refusal(reason, Execution.UNKNOWN, detail, Optional.empty());
  }

  /** Returns an error for a request that was run. */
  public static Refusal ran(RefusalReason reason, String detail) {
    return new Refusal(reason, Execution.YES, detail, Optional.empty());
  }

  /** Returns a copy of this error with a delay before a retry. */
  public Refusal withRetryAfter(Duration time) {
    return new Refusal(reason, execution, detail, Optional.of(time));
  }
}
