package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether connections to a runner may carry several requests. A runner that sends responses
 * twice sends the second one where the response to the next request is due, and may cut it off
 * anywhere.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class ConnectionReuse {

  /** Time without reuse after a response that no request was waiting for. */
  public static final Duration SUSPENSION = Duration.ofSeconds(30);

  private Instant suspendedUntil = Instant.MIN;

  /**
   * Records a response, or a part of one, that no request was waiting for. Returns whether reuse
   * was permitted until then.
   */
  public boolean recordStrayResponse(Instant now) {
    boolean wasPermitted = isPermitted(now);
    suspendedUntil = now.plus(SUSPENSION);
    return wasPermitted;
  }

  /** Returns whether connections may be reused. */
  public boolean isPermitted(Instant now) {
    return !now.isBefore(suspendedUntil);
  }
}
