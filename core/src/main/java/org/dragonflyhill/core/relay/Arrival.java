package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * When a request arrived at a node, as far as the node knows. A request may lie unread in the
 * socket while the event loop is late, so its arrival is only known to be within an interval.
 *
 * @param notBefore a time before which it had not arrived
 * @param readAt time when its first bytes were read
 */
public record Arrival(Instant notBefore, Instant readAt) {

  /**
   * Returns whether a deadline may have passed.
   *
   * @param deadline the deadline if the request had arrived when it was read
   * @param now present time
   */
  public boolean mayBeOver(Instant deadline, Instant now) {
    return !now.isBefore(deadline.minus(Duration.between(notBefore, readAt)));
  }
}
