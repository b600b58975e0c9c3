package org.dragonflyhill.daemon.relay;

import io.netty.handler.codec.http.HttpResponseStatus;
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
    // A record that was found at the start may be read again, for example after a restore of the
    // log.
    boolean isTimeKnown = absentAt.isPresent() && !announced.isAssumed(model, version);
    boolean isNewest =
        isTimeKnown ? announced.announce(model, version, at) : announced.assume(model, version, at);
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
   * Handles the head of a response: records the weight version that it names, and logs the request
   * if it has begun on replaced weights.
   *
   * @param attempt the attempt
   * @param status status of the response
   * @param headers fields of the response
   * @param requestId id of the request
   */
  void onHead(
      RunnerAttempt attempt, int status, HeaderCodec.ResponseHeaders headers, String requestId) {
    if (attempt.model().isEmpty()) {
      return;
    }
    String model = attempt.model().get();
    boolean isMisdirected = status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    boolean isNamed = headers.runnerId().filter(attempt.runner.id()::equals).isPresent();
    // With 421, another runner that has the address now may answer, with its own version.
    if (headers.weightVersion().isPresent() && (!isMisdirected || isNamed)) {
      observeInAnswer(attempt.runner, model, headers.weightVersion().getAsLong(), requestId);
    }
    if (!isMisdirected && !headers.isNotRun()) {
      logBegun(attempt, model, headers.weightVersion(), requestId);
    }
  }

  /**
   * Records that a runner does not have the weights that a request expected. It has changed them at
   * least once; if the newest version were assumed, the rollout would skip a runner that may still
   * be behind.
   */
  void onUnexpectedWeights(RunnerAttempt attempt, String requestId) {
    String model = attempt.model().orElseThrow();
    long next = Math.min(announced.newest(model), attempt.expectedWeights() + 1);
    observe(attempt.runner, model, next, "status 421 of request " + requestId);
  }

  /**
   * Records a weight version that an answer names. Nothing is recorded for a model that neither the
   * operator nor the runner's entry names, since nothing would tell when its weights change.
   */
  private void observeInAnswer(Runner runner, String model, long version, String requestId) {
    if (runner.info().weightVersions().containsKey(model) || announced.newest(model) > 0) {
      observe(runner, model, version, "request " + requestId);
    }
  }

  private void logBegun(
      RunnerAttempt attempt, String model, OptionalLong answered, String requestId) {
    long expected = attempt.expectedWeights();
    Optional<Instant> replacedAt = announced.replacedAt(model, answered.orElse(expected));
    if (replacedAt.isEmpty()) {
      return;
    }
    long replacedMillis = millisSince(replacedAt.get());
    boolean isLate = replacedMillis > deadline.limit().toMillis();
    metrics.count(isLate ? "relay.begun_after_weights_limit" : "relay.begun_on_replaced_weights");
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
