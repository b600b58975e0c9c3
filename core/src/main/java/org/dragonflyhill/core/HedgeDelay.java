package org.dragonflyhill.core;

import java.time.Duration;

/**
 * Computes after what wait for the first chunk an urgent request is sent a second time.
 *
 * <p>It follows how late first chunks come against their estimates: the limit rises fast when one
 * comes later than it, and falls slowly otherwise, so that it settles where about one in twenty is
 * later.
 *
 * <pre>{@code
 * hedgeDelay.observed(estimate, waited);
 * Duration wait = hedgeDelay.delay(estimate);
 * }</pre>
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class HedgeDelay {

  /** Shortest wait, below which a hedge would only answer noise. */
  public static final Duration MIN_DELAY = Duration.ofMillis(50);

  private static final double INITIAL_FACTOR = 2.0;
  private static final double MIN_FACTOR = 1.2;
  private static final double MAX_FACTOR = 10.0;
  private static final double INCREASE_FACTOR = 1.19;
  private static final double DECREASE_FACTOR = 0.99;

  private double factor = INITIAL_FACTOR;

  /** Notes the wait for a first chunk. */
  public synchronized void recordFirstChunk(Duration estimate, Duration actual) {
    boolean isLate = actual.compareTo(delay(estimate)) > 0;
    factor =
        Math.clamp(factor * (isLate ? INCREASE_FACTOR : DECREASE_FACTOR), MIN_FACTOR, MAX_FACTOR);
  }

  /** Returns the wait after which a second copy is sent. */
  public synchronized Duration delay(Duration estimate) {
    Duration scaled = Duration.ofNanos((long) (estimate.toNanos() * factor));
    return scaled.compareTo(MIN_DELAY) > 0 ? scaled : MIN_DELAY;
  }
}
