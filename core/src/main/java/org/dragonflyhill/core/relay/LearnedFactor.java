package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * Robust estimate of a factor that starts at 1. It is an estimate of the factor's logarithm, so
 * that a half counts as much as a double.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class LearnedFactor {

  private final BoundedEstimate log;
  private long knownSecond = Long.MIN_VALUE;
  private double known;

  /**
   * Creates a factor of 1.
   *
   * @param min smallest factor
   * @param max largest factor
   * @param gains influence of a sample's logarithm
   * @param halfLife time in which the logarithm halves without samples
   */
  LearnedFactor(double min, double max, BoundedEstimate.Gains gains, Duration halfLife) {
    BoundedEstimate.Range range = new BoundedEstimate.Range(0, Math.log(min), Math.log(max));
    log = new BoundedEstimate(range, gains, halfLife);
  }

  /** Records a sample; negative ones count as 0. */
  void record(double factor, Instant now) {
    log.record(Math.log(Math.max(0, factor)), now);
    knownSecond = Long.MIN_VALUE;
  }

  /**
   * Returns the factor after decay. It is calculated once a second and after a sample, since a
   * selection reads it for each runner and part.
   */
  double value(Instant now) {
    if (knownSecond != now.getEpochSecond()) {
      knownSecond = now.getEpochSecond();
      known = Math.exp(log.value(now));
    }
    return known;
  }
}
