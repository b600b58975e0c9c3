package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * Exponentially decaying score of an endpoint's recent failures. Each failure adds to the score,
 * each success lowers it by a fixed ratio.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class FailureScore {

  /** Half-life of the score. */
  public static final Duration HALF_LIFE = Duration.ofSeconds(3);

  /** Factor by which a success multiplies the score. */
  public static final double SUCCESS_FACTOR = 0.85;

  /** Upper bound of the score, so that a recovered endpoint is soon tried again. */
  public static final double MAX = 8;

  private double value;
  private Instant updatedAt = Instant.EPOCH;

  /** Records a failure. */
  public void recordFailure(double weight, Instant now) {
    value = Math.min(MAX, value(now) + weight);
    updatedAt = now;
  }

  /** Records a success. */
  public void recordSuccess(Instant now) {
    if (value > 0) {
      value = value(now) * SUCCESS_FACTOR;
      updatedAt = now;
    }
  }

  /** Returns the score after decay. */
  public double value(Instant now) {
    if (value == 0) {
      return 0;
    }
    double halvings = (double) Duration.between(updatedAt, now).toNanos() / HALF_LIFE.toNanos();
    return value * Math.pow(0.5, Math.max(0, halvings));
  }
}
