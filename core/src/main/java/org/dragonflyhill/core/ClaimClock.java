package org.dragonflyhill.core;

import java.util.Optional;

/**
 * Event-time clock of the claim stream. It is computed from the claim records alone, so every node
 * that reads the same records expires the same idempotency keys, whatever its system clock says.
 *
 * <p>As long as a single node has made claims, the clock follows that node. From then on it follows
 * the second highest claim time among nodes, so that one node whose system clock runs ahead cannot
 * advance it. It never goes backwards. Not thread-safe; no argument may be null.
 */
final class ClaimClock {

  private Optional<Reading> highest = Optional.empty();
  private long millis = Long.MIN_VALUE;
  private boolean hasTwoNodes;

  /** Updates the clock with the time of a claim. */
  void observe(String node, long atMillis) {
    Reading reading = new Reading(node, atMillis);
    if (highest.isEmpty()) {
      highest = Optional.of(reading);
      millis = atMillis;
      return;
    }
    Reading currentHighest = highest.get();
    boolean isOtherNode = !currentHighest.node().equals(node);
    hasTwoNodes |= isOtherNode;
    if (isOtherNode) {
      millis = Math.max(millis, Math.min(currentHighest.atMillis(), atMillis));
    } else if (!hasTwoNodes) {
      millis = Math.max(millis, atMillis);
    }
    if (atMillis > currentHighest.atMillis()) {
      highest = Optional.of(reading);
    }
  }

  /**
   * Returns the current time in milliseconds since the epoch, or {@link Long#MIN_VALUE} before the
   * first claim.
   */
  long millis() {
    return millis;
  }

  /**
   * Returns the latest claim time of any node in milliseconds since the epoch, or {@link
   * Long#MIN_VALUE} before the first claim.
   */
  long latestMillis() {
    return highest.map(Reading::atMillis).orElse(Long.MIN_VALUE);
  }

  private record Reading(String node, long atMillis) {}
}
