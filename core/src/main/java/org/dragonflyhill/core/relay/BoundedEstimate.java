package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * Robust estimate of a quantity. Each sample moves it by a fixed fraction of its difference, up to
 * a limit, so that a wrong sample has little influence however wrong it is. The fraction may differ
 * for larger and smaller samples: the estimate then settles nearer to the high or the low ones. It
 * returns to its starting value as samples age, and never leaves its range.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class BoundedEstimate {

  /** Number of samples that move a new estimate more, so that it leaves its start soon. */
  private static final int EARLY_SAMPLES = 20;

  /** Factor by which an early sample moves the estimate more. */
  private static final double EARLY_FACTOR = 3;

  private final Range range;
  private final Gains gains;
  private final double halfLifeMillis;
  private double value;
  private int samples;
  private long updatedAtMillis;

  /**
   * Creates an estimate with its starting value.
   *
   * @param range starting value and limits of the estimate and of each sample
   * @param gains influence of a sample
   * @param halfLife time in which the difference to the starting value halves without samples
   */
  BoundedEstimate(Range range, Gains gains, Duration halfLife) {
    this.range = range;
    this.gains = gains;
    halfLifeMillis = halfLife.toMillis();
    value = range.start();
  }

  /** Records a sample; infinite ones count as the limit of the range. */
  void record(double sample, Instant now) {
    double before = value(now);
    double difference = range.clip(sample) - before;
    double bounded = Math.max(-gains.maxDifference(), Math.min(gains.maxDifference(), difference));
    double gain = bounded > 0 ? gains.rise() : gains.fall();
    if (samples < EARLY_SAMPLES) {
      samples++;
      gain *= EARLY_FACTOR;
    }
    value = range.clip(before + bounded * gain);
    // Also if the time is earlier than before: a clock that was ahead once must not stop the decay.
    updatedAtMillis = now.toEpochMilli();
  }

  /** Returns the estimate after decay. */
  double value(Instant now) {
    if (value == range.start()) {
      return value;
    }
    double halvings = Math.max(0, now.toEpochMilli() - updatedAtMillis) / halfLifeMillis;
    return range.start() + (value - range.start()) * Math.pow(0.5, halvings);
  }

  /** Starting value and limits of an estimate. */
  record Range(double start, double min, double max) {

    private double clip(double sample) {
      return Math.max(min, Math.min(max, sample));
    }
  }

  /**
   * Influence of a sample. The first samples have three times as much.
   *
   * @param rise fraction of the difference by which a larger sample raises the estimate
   * @param fall fraction of the difference by which a smaller sample lowers it
   * @param maxDifference limit of the difference
   */
  record Gains(double rise, double fall, double maxDifference) {}
}
