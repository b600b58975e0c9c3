package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import org.dragonflyhill.core.relay.FirstResponseTimes;

/**
 * Computes how long to wait for the first chunk of a response before a hedge request is sent.
 *
 * <p>About one first chunk in twenty takes longer than the delay, according to the recent times of
 * {@link FirstResponseTimes}. Until these are known, the delay is a multiple of the estimate.
 *
 * <pre>{@code
 * Duration delay = hedgeDelay.delay(estimate, now);
 * hedgeDelay.recordFirstChunk(estimate, actual, now);
 * }</pre>
 *
 * <p>Thread-safe. Arguments must not be null.
 */
public final class HedgeDelay {

  /** Minimum delay; a shorter one would send hedge requests because of ordinary latency jitter. */
  public static final Duration MIN_DELAY = FirstResponseTimes.MIN_DELAY;

  private static final int INITIAL_FACTOR = 2;

  private final FirstResponseTimes times = new FirstResponseTimes();

  /** Records the estimated and the actual time to a first chunk. */
  public synchronized void recordFirstChunk(Duration estimate, Duration actual, Instant now) {
    times.record(estimate, actual, now);
  }

  /** Returns the time to wait for the first chunk before a hedge request is sent. */
  public synchronized Duration delay(Duration estimate, Instant now) {
    return times.delay(estimate, now).orElseGet(() -> initialDelay(estimate));
  }

  private static Duration initialDelay(Duration estimate) {
    Duration scaled = estimate.multipliedBy(INITIAL_FACTOR);
    return scaled.compareTo(MIN_DELAY) > 0 ? scaled : MIN_DELAY;
  }
}
