package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * State of a runner at this node: the runner's own description, the load that this node has put on
 * it, and its recent latency and failures.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class Runner {

  /**
   * Time without any data from a runner with unanswered requests after which the runner counts as
   * silent.
   */
  public static final Duration SILENCE_TIMEOUT = Duration.ofMillis(900);

  /** Number of scheduling ranks that runners support, from the platform specification. */
  public static final int RANKS = 10;

  /** Stands for the weight version of a model of which none was observed at a runner. */
  public static final long UNKNOWN_WEIGHTS = 0;

  /** Smoothing factor of the moving average of the slowness. */
  private static final double SLOWNESS_WEIGHT = 0.1;

  private static final double MIN_SLOWNESS = 0.7;
  private static final double MAX_SLOWNESS = 10;

  /**
   * Constant part of each time to first token, in seconds. It is added on both sides of the ratio
   * of measured to expected times.
   */
  private static final double FIXED_SECONDS = 0.05;

  /** Duration of the first ejection. It doubles each time until a connection succeeds. */
  public static final Duration BASE_EJECTION_TIME = Duration.ofMillis(500);

  private static final int MAX_EJECTION_DOUBLINGS = 3;

  /** Longest time for which a runner can hold this node's requests back. */
  public static final Duration MAX_BACKOFF = Duration.ofSeconds(60);

  private RunnerInfo info;
  private final Map<String, Long> weightVersions = new HashMap<>();
  private final FailureScore failureScore = new FailureScore();
  private final RunnerRateLimit rateLimit = new RunnerRateLimit();
  private final RunnerColdStart coldStart = new RunnerColdStart();
  private final RunnerCapacity capacity;
  private int running;
  private int unanswered;
  private final RankedTokens prefillTokens = new RankedTokens();
  private final RankedTokens memoryTokens = new RankedTokens();
  private double slowness = 1;
  private Instant lastActivityAt;
  private Optional<Instant> unansweredSince = Optional.empty();
  private Optional<Instant> missingSince = Optional.empty();
  private Instant ejectedUntil = Instant.MIN;
  private int ejections;
  private boolean isEjectedForSilence;
  private Optional<Instant> unreachedAt = Optional.empty();
  private Instant backoffUntil = Instant.MIN;
  private boolean isMarkedDraining;
  private boolean isChangingWeights;

  /** Creates a runner that shares what is learned with no other. */
  Runner(RunnerInfo info, Instant now) {
    this(info, new ServiceCapacity(), now);
  }

  Runner(RunnerInfo info, ServiceCapacity serviceCapacity, Instant now) {
    this.info = info;
    capacity = new RunnerCapacity(serviceCapacity);
    weightVersions.putAll(info.weightVersions());
    lastActivityAt = now;
  }

  /** Returns the runner's description from the host list. */
  public RunnerInfo info() {
    return info;
  }

  /** Returns the identifier of the runner. */
  public String id() {
    return info.id();
  }

  void update(RunnerInfo newer) {
    // A process that shuts down does not return; a restored host list may show its older entry.
    isMarkedDraining |= info.isDraining();
    info = newer;
    missingSince = Optional.empty();
    newer.weightVersions().forEach(this::observeWeightVersion);
  }

  /** Records a weight version observed at the runner. Versions only increase. */
  public void observeWeightVersion(String model, long version) {
    weightVersions.merge(model, version, Math::max);
  }

  /** Returns the newest weight version observed at the runner, or {@link #UNKNOWN_WEIGHTS}. */
  public long weightVersion(String model) {
    return weightVersions.getOrDefault(model, UNKNOWN_WEIGHTS);
  }

  /**
   * Records a weight version that another node observed at the runner. Does nothing unless the
   * runner has a single model, since reports of nodes do not name the model.
   */
  public void observeSingleModelWeightVersion(long version) {
    if (weightVersions.size() == 1) {
      weightVersions.replaceAll((model, known) -> Math.max(known, version));
    }
  }

  /** Returns the weight version of the single model, empty if there is none or more than one. */
  public Optional<Long> singleModelWeightVersion() {
    return weightVersions.size() == 1
        ? weightVersions.values().stream().findFirst()
        : Optional.empty();
  }

  /** Sets whether a weight change ordered by this node is in progress at the runner. */
  public void setChangingWeights(boolean isChanging) {
    isChangingWeights = isChanging;
  }

  /** Returns whether a weight change ordered by this node is in progress at the runner. */
  public boolean isChangingWeights() {
    return isChangingWeights;
  }

  /**
   * Marks the runner as draining before the host list says so, for example because its address
   * belongs to another runner by now.
   */
  public void markDraining() {
    isMarkedDraining = true;
  }

  /** Returns whether {@link #markDraining} was called for this instance of the runner. */
  public boolean isMarkedDraining() {
    return isMarkedDraining;
  }

  void markMissing(Instant now) {
    if (missingSince.isEmpty()) {
      missingSince = Optional.of(now);
    }
  }

  Optional<Instant> missingSince() {
    return missingSince;
  }

  /** Returns whether the runner accepts new requests, that is, whether it is not draining. */
  public boolean isAvailable() {
    return !info.isDraining() && !isMarkedDraining;
  }

  /**
   * Records that a request was sent to the runner.
   *
   * @param rank rank of the request
   * @param prefill prompt tokens that the runner has to prefill
   * @param memory KV memory that the request may need, in tokens
   * @param now present time
   */
  public void requestSent(int rank, long prefill, long memory, Instant now) {
    running++;
    unanswered++;
    prefillTokens.add(rank, prefill);
    memoryTokens.add(rank, memory);
    if (unansweredSince.isEmpty()) {
      unansweredSince = Optional.of(now);
    }
  }

  /** Records that the answer to a request has started, which ends its prefill. */
  public void answerStarted(int rank, long prefill, Instant now) {
    unanswered--;
    prefillTokens.add(rank, -prefill);
    recordActivity(now);
    unansweredSince = unanswered > 0 ? Optional.of(now) : Optional.empty();
  }

  /** Records that data was received from the runner. */
  public void recordActivity(Instant now) {
    lastActivityAt = now;
    if (isEjectedForSilence) {
      endEjection();
    }
  }

  /**
   * Records the end of a request.
   *
   * @param wasAnswered whether an answer had started
   * @param rank rank of the request
   * @param prefill prompt tokens that were counted when the request was sent
   * @param memory KV memory that was counted when the request was sent, in tokens
   */
  public void requestEnded(boolean wasAnswered, int rank, long prefill, long memory) {
    running--;
    memoryTokens.add(rank, -memory);
    if (!wasAnswered) {
      unanswered--;
      prefillTokens.add(rank, -prefill);
      if (unanswered == 0) {
        unansweredSince = Optional.empty();
      }
    }
  }

  /** Records a failure of the runner. */
  public void recordFailure(double weight, Instant now) {
    failureScore.recordFailure(weight, now);
  }

  /**
   * Ejects the runner after a failed connection, with exponential backoff. Does nothing if the last
   * ejection time is not over yet.
   */
  public void eject(Instant now) {
    recordUnreached(now);
    extendEjection(now);
  }

  /** Records that a connection to the runner failed. */
  public void recordUnreached(Instant now) {
    unreachedAt = Optional.of(now);
  }

  /**
   * Returns when a connection to the runner last failed. Its process may have ended then, and
   * another one may use its id before the host list says so.
   */
  public Optional<Instant> unreachedAt() {
    return unreachedAt;
  }

  private void extendEjection(Instant now) {
    if (now.isBefore(ejectedUntil)) {
      return;
    }
    int doublings = Math.min(ejections, MAX_EJECTION_DOUBLINGS);
    ejectedUntil = now.plus(BASE_EJECTION_TIME.multipliedBy(1L << doublings));
    ejections++;
  }

  /** Ejects the runner after it fell silent; any data that it sends ends the ejection. */
  public void ejectForSilence(Instant now) {
    isEjectedForSilence = true;
    extendEjection(now);
  }

  /** Returns whether the runner was ejected and has shown no sign since that it is reachable. */
  public boolean isEjected() {
    return ejections > 0;
  }

  /** Returns whether an ejected runner should be probed with a connection attempt. */
  public boolean isProbeDue(Instant now) {
    return ejections > 0 && !now.isBefore(ejectedUntil);
  }

  /** Lets an ejected runner be probed at once. */
  public void probeNow(Instant now) {
    if (ejections > 0) {
      ejectedUntil = now;
    }
  }

  /** Ends the ejection, after a connection to the runner succeeded or it sent data again. */
  public void endEjection() {
    isEjectedForSilence = false;
    ejections = 0;
    ejectedUntil = Instant.MIN;
  }

  /** Records a successful answer. */
  public void recordSuccess(Instant now) {
    endEjection();
    failureScore.recordSuccess(now);
  }

  /**
   * Holds new requests back for a time that the runner asked for, at most {@link #MAX_BACKOFF}. An
   * earlier, longer time stays in force.
   */
  public void backOff(Duration time, Instant now) {
    Duration bounded = time.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : time;
    Instant until = now.plus(bounded);
    backoffUntil = until.isAfter(backoffUntil) ? until : backoffUntil;
  }

  /** Returns how long the runner still wants no requests, zero if it accepts them. */
  public Duration backoffLeft(Instant now) {
    return now.isBefore(backoffUntil) ? Duration.between(now, backoffUntil) : Duration.ZERO;
  }

  /** Returns the rate of requests that the runner accepts. */
  public RunnerRateLimit rateLimit() {
    return rateLimit;
  }

  /** Returns until when the runner is cold, and this node's share of its requests meanwhile. */
  public RunnerColdStart coldStart() {
    return coldStart;
  }

  /** Returns whether the rate limits of the runner permit this node to send a request now. */
  public boolean isPermitted(Instant now) {
    return rateLimit.isPermitted(now) && coldStart.isPermitted(now);
  }

  /** Returns how long the rate limits permit no request, empty if this node has no share. */
  Optional<Duration> timeUntilPermitted(Instant now) {
    return rateLimit
        .timeUntilPermitted(now)
        .flatMap(
            limited ->
                coldStart
                    .timeUntilPermitted(now)
                    .map(cold -> cold.compareTo(limited) > 0 ? cold : limited));
  }

  /** Returns the requests per second that this node may send while a rate limit is in force. */
  double permittedPerSecond(Instant now) {
    double limited =
        rateLimit.perSecond().isPresent() ? rateLimit.sharePerSecond() : Double.MAX_VALUE;
    return coldStart.isLimited(now) ? Math.min(limited, coldStart.sharePerSecond()) : limited;
  }

  /** Records that a request is about to be sent, which uses up a part of the rate limits. */
  public void recordDispatch(Instant now) {
    rateLimit.recordRequest(now);
    coldStart.recordRequest(now);
  }

  /** Returns the decaying score of recent failures. */
  public double failureScore(Instant now) {
    return failureScore.value(now);
  }

  /**
   * Returns whether requests have been unanswered and no data has been received for longer than
   * {@link #SILENCE_TIMEOUT}.
   */
  public boolean isSilent(Instant now) {
    return unansweredSince
        .filter(since -> isTimedOut(since, now))
        .filter(since -> isTimedOut(lastActivityAt, now))
        .isPresent();
  }

  private static boolean isTimedOut(Instant since, Instant now) {
    return Duration.between(since, now).compareTo(SILENCE_TIMEOUT) > 0;
  }

  /** Returns the number of requests of this node that are running at the runner. */
  public int running() {
    return running;
  }

  /** Returns the prompt tokens of this node that the runner has yet to prefill, by rank. */
  public List<Long> prefillTokens() {
    return prefillTokens.toList();
  }

  /** Returns the prompt tokens of this node that are prefilled before a new request of a rank. */
  public long prefillTokensAhead(int rank) {
    return prefillTokens.upTo(rank);
  }

  /**
   * Updates the slowness from a time to first token.
   *
   * @param seconds measured time
   * @param expected expected time, which included the slowness at present, in seconds
   */
  public void recordTimeToFirstToken(double seconds, double expected) {
    double ratio = (seconds + FIXED_SECONDS) / (expected / slowness + FIXED_SECONDS);
    slowness += SLOWNESS_WEIGHT * (clipSlowness(ratio) - slowness);
  }

  private static double clipSlowness(double ratio) {
    return Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, ratio));
  }

  /**
   * Updates the capacity from a time to first token of a request that neither fetched nor waited
   * for memory. What the deviation now expresses is removed from the slowness, or it would count
   * twice until the slowness has followed.
   *
   * @param prefillTokens tokens that the runner had to prefill
   * @param runningBefore number of requests that were running at the runner
   * @param queueSeconds estimated time for the prompts of other requests
   * @param seconds measured time
   * @param now present time
   */
  void learnCapacity(
      long prefillTokens, int runningBefore, double queueSeconds, double seconds, Instant now) {
    double before = capacity.estimatedDeviation(now);
    capacity.record(prefillTokens, runningBefore, queueSeconds, seconds, now);
    slowness = clipSlowness(slowness * capacity.estimatedDeviation(now) / before);
  }

  /** Returns the learned capacity. */
  public RunnerCapacity capacity() {
    return capacity;
  }

  /** Returns the moving average of measured relative to nominal times to first token. */
  public double slowness() {
    return slowness;
  }

  /** Returns the KV memory that requests of this node may need at the runner, by rank. */
  public List<Long> memoryTokens() {
    return memoryTokens.toList();
  }

  /**
   * Returns the KV memory, in tokens, that requests of this node may need and that a new request of
   * a rank cannot preempt.
   */
  public long memoryTokensAhead(int rank) {
    return memoryTokens.upTo(rank);
  }
}
