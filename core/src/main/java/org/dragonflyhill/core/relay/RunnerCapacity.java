package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * Capacity of a runner: that of its service and the runner's deviation from it, learned from the
 * times to first token that this node measures.
 *
 * <p>Only samples with little else in them than what they measure are used. A sample of another
 * kind, or with a time that is not positive, has no influence.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class RunnerCapacity {

  /** Smallest deviation: the rate of the runner as a multiple of that of its service. */
  public static final double MIN_DEVIATION = 0.3;

  /** Largest deviation. */
  public static final double MAX_DEVIATION = 1.5;

  /**
   * Half-life of a deviation without samples. A node measures each runner a few times a minute
   * only, and a runner that is avoided not at all.
   */
  public static final Duration HALF_LIFE = Duration.ofMinutes(5);

  /**
   * Number of rate samples of the service from which deviations are learned. Before, what all
   * runners differ from the starting value would be learned as the deviation of each.
   */
  public static final int MIN_SERVICE_SAMPLES = 20;

  /** Number of tokens to prefill from which a time to first token shows the prefill rate. */
  public static final int MIN_RATE_TOKENS = 2_048;

  /** Number of tokens to prefill up to which a time to first token shows the other times. */
  public static final int MAX_OVERHEAD_TOKENS = 512;

  /** Number of running requests up to which a time shows the overhead. */
  private static final int MAX_OVERHEAD_RUNNING = 2;

  /** Number of running requests from which a time shows what each of them adds. */
  private static final int MIN_RUNNING = 4;

  /** Maximum time for the prompts of other requests, as a fraction of the own prefill time. */
  private static final double MAX_QUEUE_SHARE = 0.1;

  /** Maximum time for the prompts of other requests in samples of overhead, in seconds. */
  private static final double MAX_QUEUE_SECONDS = 0.002;

  /**
   * Maximum overhead that is subtracted from a measured time, as a fraction of it. If the overhead
   * is estimated too high, the rate is overestimated by at most a factor of two.
   */
  private static final double MAX_OVERHEAD_SHARE = 0.5;

  /**
   * Three times more weight for faster samples. One sample changes the deviation by at most 6 %, an
   * early one by 20 %.
   */
  private static final BoundedEstimate.Gains GAINS = new BoundedEstimate.Gains(0.2, 0.067, 0.3);

  private static final double MIN_TOKENS_PER_SECOND =
      ServiceCapacity.START_TOKENS_PER_SECOND * ServiceCapacity.MIN_RATE_FACTOR;
  private static final double MAX_TOKENS_PER_SECOND =
      ServiceCapacity.START_TOKENS_PER_SECOND * ServiceCapacity.MAX_RATE_FACTOR;

  /**
   * Factor by which a learned rate must differ from the start to be used in estimates. A smaller
   * difference may be queueing that this node does not know of rather than speed.
   */
  private static final double CLEAR_FACTOR = 1.2;

  /** The same for the time of a running request, which contains load that peers report late. */
  private static final double CLEAR_RUNNING_FACTOR = 1.5;

  private final ServiceCapacity service;
  private final LearnedFactor deviation =
      new LearnedFactor(MIN_DEVIATION, MAX_DEVIATION, GAINS, HALF_LIFE);

  /** Creates the capacity of a runner that has not been measured yet. */
  public RunnerCapacity(ServiceCapacity service) {
    this.service = service;
  }

  /** Returns the prefill rate, in tokens per second. */
  public double prefillTokensPerSecond(Instant now) {
    double rate = service.prefillTokensPerSecond(now) * deviation.value(now);
    return Math.max(MIN_TOKENS_PER_SECOND, Math.min(MAX_TOKENS_PER_SECOND, rate));
  }

  /** Returns the time that each running request adds to the time to first token, in seconds. */
  public double secondsPerRunning(Instant now) {
    return service.secondsPerRunning(now) / deviation.value(now);
  }

  /**
   * Returns the prefill rate for estimates, in tokens per second: the rate at the start while the
   * learned one does not differ clearly from it.
   */
  public double estimatedTokensPerSecond(Instant now) {
    return isRateLearned(now)
        ? prefillTokensPerSecond(now)
        : ServiceCapacity.START_TOKENS_PER_SECOND;
  }

  /** Returns the time that each running request adds for estimates, in seconds. */
  public double estimatedSecondsPerRunning(Instant now) {
    double seconds = secondsPerRunning(now);
    return differs(seconds / ServiceCapacity.START_SECONDS_PER_RUNNING, CLEAR_RUNNING_FACTOR)
        ? seconds
        : ServiceCapacity.START_SECONDS_PER_RUNNING;
  }

  /** Returns the deviation that {@link #estimatedTokensPerSecond} contains. */
  double estimatedDeviation(Instant now) {
    return isRateLearned(now) ? deviation.value(now) : 1;
  }

  private boolean isRateLearned(Instant now) {
    return differs(
        prefillTokensPerSecond(now) / ServiceCapacity.START_TOKENS_PER_SECOND, CLEAR_FACTOR);
  }

  private static boolean differs(double factor, double clearFactor) {
    return factor > clearFactor || factor < 1 / clearFactor;
  }

  /** Returns the prefill rate as a multiple of that of the service. */
  public double deviation(Instant now) {
    return deviation.value(now);
  }

  /**
   * Records a time to first token of a request that fetched nothing, did not wait for memory and
   * preempted nothing.
   *
   * @param prefillTokens tokens that the runner had to prefill
   * @param running number of requests that were running at the runner
   * @param queueSeconds estimated time for the prompts of other requests
   * @param seconds measured time
   * @param now present time
   */
  public void record(
      long prefillTokens, int running, double queueSeconds, double seconds, Instant now) {
    if (!(seconds > 0)) {
      return;
    }
    double prefillSeconds = prefillTokens / prefillTokensPerSecond(now);
    if (prefillTokens >= MIN_RATE_TOKENS && queueSeconds <= prefillSeconds * MAX_QUEUE_SHARE) {
      recordRate(prefillTokens, running, prefillSeconds, seconds, now);
    } else if (prefillTokens <= MAX_OVERHEAD_TOKENS && queueSeconds <= MAX_QUEUE_SECONDS) {
      recordOverhead(running, seconds - prefillSeconds, now);
    }
  }

  private void recordRate(
      long prefillTokens, int running, double prefillSeconds, double seconds, Instant now) {
    double overhead = service.overheadSeconds(now) + running * secondsPerRunning(now);
    if (overhead > prefillSeconds * MAX_OVERHEAD_SHARE) {
      return;
    }
    double ownSeconds = seconds - Math.min(overhead, seconds * MAX_OVERHEAD_SHARE);
    double rate = prefillTokens / ownSeconds;
    if (service.rateSamples() >= MIN_SERVICE_SAMPLES) {
      deviation.record(rate / service.prefillTokensPerSecond(now), now);
    }
    service.recordRate(rate, now);
  }

  private void recordOverhead(int running, double seconds, Instant now) {
    if (running <= MAX_OVERHEAD_RUNNING) {
      service.recordOverhead(seconds - running * secondsPerRunning(now), now);
    } else if (running >= MIN_RUNNING) {
      double perRunning = (seconds - service.overheadSeconds(now)) / running;
      service.recordRunning(perRunning * deviation.value(now), now);
    }
  }
}
