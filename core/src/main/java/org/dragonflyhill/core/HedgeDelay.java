package org.dragonflyhill.core;

import java.time.Duration;

/**
 * Computes how long to wait for the first chunk of a response before a hedge request is sent.
 *
 * <p>The delay is the estimated time to the first chunk multiplied by an adaptive factor. The
 * factor rises quickly when a first chunk takes longer than the delay and falls slowly otherwise,
 * so that about one first chunk in twenty takes longer than the delay.
 *
 * <pre>{@code
 * Duration delay = hedgeDelay.delay(estimate);
 * hedgeDelay.recordFirstChunk(estimate, actual);
 * }</pre>
 *
 * <p>Thread-safe. Arguments must not be null.
 */
public final class HedgeDelay {

  /** Minimum delay; a shorter one would send hedge requests because of ordinary latency jitter. */
  public static final Duration MIN_DELAY = Duration.ofMillis(50);

  private static final double INITIAL_FACTOR = 2.0;
  private static final double MIN_FACTOR = 1.2;
  private static final double MAX_FACTOR = 10.0;
  private static final double INCREASE_FACTOR = 1.19;
  private static final double DECREASE_FACTOR = 0.99;

  private double factor = INITIAL_FACTOR;

  /** Records the estimated and the actual time to a first chunk. */
  public synchronized void recordFirstChunk(Duration estimate, Duration actual) {
    boolean isLate = actual.compareTo(delay(estimate)) > 0;
    factor =
        Math.clamp(factor * (isLate ? INCREASE_FACTOR : DECREASE_FACTOR), MIN_FACTOR, MAX_FACTOR);
  }

  /** Returns the time to wait for the first chunk before a hedge request is sent. */
  public synchronized Duration delay(Duration estimate) {
    Duration scaled = Duration.ofNanos((long) (estimate.toNanos() * factor));
    return scaled.compareTo(MIN_DELAY) > 0 ? scaled : MIN_DELAY;
  }
}
