package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * Recent failures of an endpoint as one number that fades: each failure adds to it, time halves it
 * and each success takes a part of it away.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class FailureMeter {

  /** Time in which the value halves. */
  public static final Duration HALF_LIFE = Duration.ofSeconds(3);

  /** What a success leaves of the value. */
  public static final double SUCCESS_FACTOR = 0.85;

  /** Failures beyond this change nothing, so that a recovered endpoint is soon tried again. */
  public static final double MAX = 8;

  private double value;
  private Instant at = Instant.EPOCH;

  /** Notes a failure. */
  public void failed(double weight, Instant now) {
    value = Math.min(MAX, value(now) + weight);
    at = now;
  }

  /** Notes a success. */
  public void succeeded(Instant now) {
    if (value > 0) {
      value = value(now) * SUCCESS_FACTOR;
      at = now;
    }
  }

  /** Returns the faded number of failures. */
  public double value(Instant now) {
    if (value == 0) {
      return 0;
    }
    double halvings = (double) Duration.between(at, now).toNanos() / HALF_LIFE.toNanos();
    return value * Math.pow(0.5, Math.max(0, halvings));
  }
}
