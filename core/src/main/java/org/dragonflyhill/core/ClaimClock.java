package org.dragonflyhill.core;

import java.util.Optional;

/**
 * The time of the claim stream: a function of its records alone, so that no node's own clock
 * decides which keys are forgotten.
 *
 * <p>It is the second highest claim time among different nodes, so that one node whose clock runs
 * ahead moves it by nothing. It never goes back. Not thread-safe; no argument may be null.
 */
final class ClaimClock {

  private Optional<Reading> highest = Optional.empty();
  private long millis = Long.MIN_VALUE;
  private boolean hasTwoNodes;

  /** Takes note of a claim. */
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

  /** Returns the time that two nodes have reached, milliseconds since the epoch. */
  long millis() {
    return millis;
  }

  /** Returns the latest time that any node has claimed, milliseconds since the epoch. */
  long latestMillis() {
    return highest.map(Reading::atMillis).orElse(Long.MIN_VALUE);
  }

  private record Reading(String node, long atMillis) {}
}
