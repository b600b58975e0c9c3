package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A runner as this node sees it: what it says of itself, the node's own load on it, and how it has
 * answered lately.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class Runner {

  /** Silence, with requests unanswered, after which a runner is thought lost. */
  public static final Duration SILENCE_TIMEOUT = Duration.ofMillis(900);

  /** Ranks of urgency that runners tell apart, from the users' pages. */
  public static final int RANKS = 10;

  /** Weight of one answer in the learnt slowness. */
  private static final double SLOWNESS_WEIGHT = 0.1;

  private static final double MIN_SLOWNESS = 0.7;
  private static final double MAX_SLOWNESS = 10;

  /** Part of each answer's time that does not depend on load, in seconds. */
  private static final double FIXED_SECONDS = 0.05;

  /** Time for which a runner that could not be reached gets nothing; it doubles each time. */
  public static final Duration BASE_EJECTION_TIME = Duration.ofMillis(500);

  private static final int MAX_EJECTION_DOUBLINGS = 3;

  private RunnerInfo info;
  private final Map<String, Long> weightVersions = new HashMap<>();
  private final FailureScore failureScore = new FailureScore();
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
  private boolean isMarkedDraining;
  private boolean isChangingWeights;

  Runner(RunnerInfo info, Instant now) {
    this.info = info;
    weightVersions.putAll(info.weightVersions());
    lastActivityAt = now;
  }

  /** Returns what the runner says of itself. */
  public RunnerInfo info() {
    return info;
  }

  /** Returns the identifier. */
  public String id() {
    return info.id();
  }

  void update(RunnerInfo newer) {
    info = newer;
    missingSince = Optional.empty();
    newer.weightVersions().forEach(this::observeWeightVersion);
  }

  /** Notes the weight version that the runner was seen to have; versions only grow. */
  public void observeWeightVersion(String model, long version) {
    weightVersions.merge(model, version, Math::max);
  }

  /** Returns the newest weight version that the runner was seen to have, 0 if unknown. */
  public long weightVersion(String model) {
    return weightVersions.getOrDefault(model, 0L);
  }

  /** Notes that another node saw the runner have a version of its only model. */
  public void observeSingleModelWeightVersion(long version) {
    if (weightVersions.size() == 1) {
      weightVersions.replaceAll((model, known) -> Math.max(known, version));
    }
  }

  /** Returns the weight version of the runner's only model, empty if it has none or several. */
  public Optional<Long> singleModelWeightVersion() {
    return weightVersions.size() == 1
        ? weightVersions.values().stream().findFirst()
        : Optional.empty();
  }

  /** Notes whether this node has told the runner to change its weights. */
  public void setChangingWeights(boolean isChangingNow) {
    isChangingWeights = isChangingNow;
  }

  /** Returns whether this node has told the runner to change its weights. */
  public boolean isChangingWeights() {
    return isChangingWeights;
  }

  /** Notes that the runner itself said it is leaving. */
  public void markDraining() {
    isMarkedDraining = true;
  }

  void markMissing(Instant now) {
    if (missingSince.isEmpty()) {
      missingSince = Optional.of(now);
    }
  }

  Optional<Instant> missingSince() {
    return missingSince;
  }

  /** Returns whether the runner may get new work at all. */
  public boolean isAvailable() {
    return !info.isDraining() && !isMarkedDraining;
  }

  /** Notes that a request was sent. */
  public void requestSent(int urgency, long unread, long memory, Instant now) {
    running++;
    unanswered++;
    prefillTokens.add(urgency, unread);
    memoryTokens.add(urgency, memory);
    if (unansweredSince.isEmpty()) {
      unansweredSince = Optional.of(now);
    }
  }

  /** Notes the first byte of a request's answer. */
  public void answerStarted(int urgency, long unread, Instant now) {
    unanswered--;
    prefillTokens.add(urgency, -unread);
    recordActivity(now);
    unansweredSince = unanswered > 0 ? Optional.of(now) : Optional.empty();
  }

  /** Notes that anything came from the runner. */
  public void recordActivity(Instant now) {
    lastActivityAt = now;
  }

  /** Notes the end of a request, answered or not. */
  public void requestEnded(boolean wasAnswered, int urgency, long unread, long memory) {
    running--;
    memoryTokens.add(urgency, -memory);
    if (!wasAnswered) {
      unanswered--;
      prefillTokens.add(urgency, -unread);
      if (unanswered == 0) {
        unansweredSince = Optional.empty();
      }
    }
  }

  /** Notes a failure of the runner. */
  public void recordFailure(double weight, Instant now) {
    failureScore.recordFailure(weight, now);
  }

  /** Notes that no connection to the runner could be made, or that it fell silent. */
  public void eject(Instant now) {
    if (now.isBefore(ejectedUntil)) {
      return;
    }
    int doublings = Math.min(ejections, MAX_EJECTION_DOUBLINGS);
    ejectedUntil = now.plus(BASE_EJECTION_TIME.multipliedBy(1L << doublings));
    ejections++;
  }

  /** Returns whether the runner was found out of reach and was not reached since. */
  public boolean isEjected() {
    return ejections > 0;
  }

  /** Returns whether it is time to look whether an ejected runner can be reached again. */
  public boolean isProbeDue(Instant now) {
    return ejections > 0 && !now.isBefore(ejectedUntil);
  }

  /** Notes that a connection to the runner was made. */
  public void endEjection() {
    ejections = 0;
  }

  /** Notes a good answer. */
  public void recordSuccess(Instant now) {
    endEjection();
    failureScore.recordSuccess(now);
  }

  /** Returns the faded number of recent failures. */
  public double failureScore(Instant now) {
    return failureScore.value(now);
  }

  /** Returns whether requests wait at the runner and nothing has come from it for long. */
  public boolean isSilent(Instant now) {
    return unansweredSince
        .filter(since -> isTimedOut(since, now))
        .filter(since -> isTimedOut(lastActivityAt, now))
        .isPresent();
  }

  private static boolean isTimedOut(Instant since, Instant now) {
    return Duration.between(since, now).compareTo(SILENCE_TIMEOUT) > 0;
  }

  /** Returns the requests of this node that the runner has. */
  public int running() {
    return running;
  }

  /** Returns the prompt tokens of this node that the runner has yet to read, by rank. */
  public List<Long> prefillTokens() {
    return prefillTokens.toList();
  }

  /** Returns the prompt tokens of this node that the runner reads before a new request's. */
  public long prefillTokensAhead(int urgency) {
    return prefillTokens.upTo(urgency);
  }

  /** Notes how long a first token took against what was expected, in seconds. */
  public void recordTimeToFirstToken(double seconds, double expected) {
    double ratio = (seconds + FIXED_SECONDS) / (expected / slowness + FIXED_SECONDS);
    double clipped = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, ratio));
    slowness += SLOWNESS_WEIGHT * (clipped - slowness);
  }

  /** Returns the factor by which the runner has been slower than its sheet says. */
  public double slowness() {
    return slowness;
  }

  /** Returns the KV memory that this node's requests may need at the runner, by rank. */
  public List<Long> memoryTokens() {
    return memoryTokens.toList();
  }

  /** Returns the memory that requests which a new one cannot displace may need, in tokens. */
  public long memoryTokensAhead(int urgency) {
    return memoryTokens.upTo(urgency);
  }
}
