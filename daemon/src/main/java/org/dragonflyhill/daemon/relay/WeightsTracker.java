package org.dragonflyhill.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalLong;
import org.dragonflyhill.core.relay.AnnouncedWeights;
import org.dragonflyhill.core.relay.Runner;
import org.dragonflyhill.core.relay.WeightsDeadline;
import org.dragonflyhill.daemon.NodeMetrics;

/**
 * Keeps the weight versions that were announced and those observed at the runners, and logs who
 * said so. Together with the line of a request that begins on replaced weights, this tells whether
 * the node knew too little or acted too late.
 */
public final class WeightsTracker {

  private final AnnouncedWeights announced = new AnnouncedWeights();
  private final WeightsDeadline deadline;
  private final InstantSource clock;
  private final DecisionLog log;
  private final NodeMetrics metrics;

  WeightsTracker(
      WeightsDeadline deadline, InstantSource clock, DecisionLog log, NodeMetrics metrics) {
    this.deadline = deadline;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
  }

  /** Returns the announced weight versions. */
  public AnnouncedWeights announced() {
    return announced;
  }

  /** Returns when requests must no longer begin on replaced weights. */
  public WeightsDeadline deadline() {
    return deadline;
  }

  /**
   * Records that the operator announced a weight version of a model, as read from the log.
   *
   * @param model name of the model
   * @param version weight version
   * @param absentAt when the log was last known not to have it, empty if it never was
   */
  public void announce(String model, long version, Optional<Instant> absentAt) {
    Instant at = deadline.countsFrom(absentAt, clock.instant());
    long before = announced.newest(model);
    boolean isNewest =
        absentAt.isPresent()
            ? announced.announce(model, version, at)
            : announced.assume(model, version, at);
    if (isNewest) {
      logAnnouncement(model, version, before, at, absentAt.isPresent() ? "log" : "log at start");
    }
  }

  /** Records an announcement that a peer has reported. */
  void announceReported(String model, long version, Duration age, String peer) {
    Instant at = clock.instant().minus(age);
    long before = announced.newest(model);
    if (announced.announce(model, version, at)) {
      logAnnouncement(model, version, before, at, "node " + peer);
    }
  }

  private void logAnnouncement(String model, long version, long before, Instant at, String source) {
    log.info(
        "weights_named",
        event ->
            event
                .with("model", model)
                .with("version", version)
                .with("before", before)
                .with("age_ms", millisSince(at))
                .with("source", source));
  }

  /**
   * Records a weight version observed at a runner.
   *
   * @param runner the runner
   * @param model name of the model
   * @param version weight version
   * @param source what says so, for the log
   */
  void observe(Runner runner, String model, long version, String source) {
    long before = runner.weightVersion(model);
    runner.observeWeightVersion(model, version);
    logObservation(runner, version, before, source);
  }

  /** Records a weight version that a peer has observed at a runner of a single model. */
  void observeReported(Runner runner, long version, String peer) {
    long before = runner.singleModelWeightVersion().orElse(version);
    runner.observeSingleModelWeightVersion(version);
    logObservation(runner, version, before, "node " + peer);
  }

  private void logObservation(Runner runner, long version, long before, String source) {
    if (version > before) {
      log.info(
          "weights_changed",
          event ->
              event
                  .with("runner", runner.id())
                  .with("version", version)
                  .with("before", before)
                  .with("source", source));
    }
  }

  /**
   * Records a weight version that an answer names. Nothing is recorded for a model that neither the
   * operator nor the runner's entry names, since nothing would tell when its weights change.
   */
  void observeInAnswer(Runner runner, String model, long version, String requestId) {
    if (runner.info().weightVersions().containsKey(model) || announced.newest(model) > 0) {
      observe(runner, model, version, "request " + requestId);
    }
  }

  /**
   * Logs a request that has begun on replaced weights.
   *
   * @param attempt the attempt, whose response has started
   * @param model model of the request
   * @param answered weight version that the response names, empty if it names none
   * @param requestId id of the request
   */
  void logBegun(RunnerAttempt attempt, String model, OptionalLong answered, String requestId) {
    long expected = attempt.expectedWeights();
    Optional<Instant> replacedAt = announced.replacedAt(model, answered.orElse(expected));
    if (replacedAt.isEmpty()) {
      return;
    }
    long replacedMillis = millisSince(replacedAt.get());
    boolean isLate = replacedMillis > deadline.limit().toMillis();
    metrics.count(isLate ? "relay.begun_after_weights_limit" : "relay.begun_before_weights_limit");
    log.info(
        isLate ? "begun_after_weights_limit" : "begun_on_replaced_weights",
        event ->
            event
                .with("request", requestId)
                .with("runner", attempt.runner.id())
                .with("expected", expected)
                .with("answered", answered.isPresent() ? answered.getAsLong() : "none")
                .with("newest", announced.newest(model))
                .with("replaced_ms_ago", replacedMillis)
                .with("sent_ms_ago", millisSince(attempt.sentAt)));
  }

  private long millisSince(Instant time) {
    return Duration.between(time, clock.instant()).toMillis();
  }
}
