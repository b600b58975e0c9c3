package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * Capacity of the runners of a service, learned from the times to first token that this node
 * measures. Requests with few tokens to prefill show the overhead and the time that each running
 * request adds; requests with many tokens show the prefill rate.
 *
 * <p>Measured times also contain queueing that this node does not know of. Therefore the prefill
 * rate follows the faster samples: it settles near their upper quartile.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class ServiceCapacity {

  /** Prefill rate of a new service, in tokens per second, from the platform specification. */
  public static final double START_TOKENS_PER_SECOND = 85_200;

  /** Time that each running request adds to the time to first token at first, in seconds. */
  public static final double START_SECONDS_PER_RUNNING = 0.004;

  /** Smallest learned prefill rate, as a multiple of the rate at the start. */
  public static final double MIN_RATE_FACTOR = 0.3;

  /** Largest learned prefill rate, as a multiple of the rate at the start. */
  public static final double MAX_RATE_FACTOR = 3;

  /** Half-life of what was learned about a service while there are no samples. */
  public static final Duration HALF_LIFE = Duration.ofMinutes(10);

  /**
   * Three times more weight for faster samples. One sample raises the rate by at most 6 %, an early
   * one by 20 %, and lowers it by a third of that.
   */
  private static final BoundedEstimate.Gains RATE_GAINS =
      new BoundedEstimate.Gains(0.12, 0.04, 0.5);

  /** One sample changes the time of a running request by at most 2.5 %, an early one by 8 %. */
  private static final BoundedEstimate.Gains RUNNING_GAINS =
      new BoundedEstimate.Gains(0.05, 0.05, 0.5);

  /** Three times more weight for smaller samples, since delays of the node add to the others. */
  private static final BoundedEstimate.Gains OVERHEAD_GAINS =
      new BoundedEstimate.Gains(0.05, 0.15, 0.01);

  /**
   * Smallest and largest time of a running request, as multiples of that at the start. They are
   * closer than those of the rate: this time also spreads requests over the runners, and load that
   * peers have not reported yet is measured with it.
   */
  private static final double MIN_RUNNING_FACTOR = 0.5;

  private static final double MAX_RUNNING_FACTOR = 2;

  /** Limits of the overhead, in seconds. */
  private static final BoundedEstimate.Range OVERHEAD_RANGE = new BoundedEstimate.Range(0, 0, 0.05);

  private final LearnedFactor rateFactor =
      new LearnedFactor(MIN_RATE_FACTOR, MAX_RATE_FACTOR, RATE_GAINS, HALF_LIFE);
  private final LearnedFactor runningFactor =
      new LearnedFactor(MIN_RUNNING_FACTOR, MAX_RUNNING_FACTOR, RUNNING_GAINS, HALF_LIFE);
  private final BoundedEstimate overhead =
      new BoundedEstimate(OVERHEAD_RANGE, OVERHEAD_GAINS, HALF_LIFE);

  private long rateSamples;

  /** Returns the prefill rate of a usual runner, in tokens per second. */
  public double prefillTokensPerSecond(Instant now) {
    return START_TOKENS_PER_SECOND * rateFactor.value(now);
  }

  /** Returns the time that each running request adds at a usual runner, in seconds. */
  public double secondsPerRunning(Instant now) {
    return START_SECONDS_PER_RUNNING * runningFactor.value(now);
  }

  /** Returns the part of a time to first token that no request at the runner causes, in seconds. */
  double overheadSeconds(Instant now) {
    return overhead.value(now);
  }

  /** Returns the number of samples of the prefill rate. */
  long rateSamples() {
    return rateSamples;
  }

  void recordRate(double tokensPerSecond, Instant now) {
    rateSamples++;
    rateFactor.record(tokensPerSecond / START_TOKENS_PER_SECOND, now);
  }

  void recordRunning(double secondsPerRunning, Instant now) {
    runningFactor.record(secondsPerRunning / START_SECONDS_PER_RUNNING, now);
  }

  void recordOverhead(double seconds, Instant now) {
    overhead.record(seconds, now);
  }
}
