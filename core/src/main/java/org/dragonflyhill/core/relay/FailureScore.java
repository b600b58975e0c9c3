package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * Recent failures of an endpoint as one number that fades: each failure adds to it, time halves it
 * and each success takes a part of it away.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class FailureScore {

  /** Time in which the value halves. */
  public static final Duration HALF_LIFE = Duration.ofSeconds(3);

  /** What a success leaves of the value. */
  public static final double SUCCESS_FACTOR = 0.85;

  /** Failures beyond this change nothing, so that a recovered endpoint is soon tried again. */
  public static final double MAX = 8;

  private double value;
  private Instant updatedAt = Instant.EPOCH;

  /** Notes a failure. */
  public void recordFailure(double weight, Instant now) {
    value = Math.min(MAX, value(now) + weight);
    updatedAt = now;
  }

  /** Notes a success. */
  public void recordSuccess(Instant now) {
    if (value > 0) {
      value = value(now) * SUCCESS_FACTOR;
      updatedAt = now;
    }
  }

  /** Returns the faded number of failures. */
  public double value(Instant now) {
    if (value == 0) {
      return 0;
    }
    double halvings = (double) Duration.between(updatedAt, now).toNanos() / HALF_LIFE.toNanos();
    return value * Math.pow(0.5, Math.max(0, halvings));
  }
}
