package org.dragonflyhill.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.relay.HedgeDenial;
import org.dragonflyhill.core.relay.HedgePolicy;
import org.dragonflyhill.core.relay.Prompt;
import org.dragonflyhill.core.relay.Route;
import org.dragonflyhill.core.relay.Runner;

/**
 * The hedge of one request: a second copy, sent to another runner because the first one has not
 * been answered. It is decided once, so that a denied hedge is neither logged nor considered again.
 */
final class RequestHedge {

  private final RelayServer server;
  private final RelayState state;
  private final HedgePolicy policy;
  private final Route route;
  private final String service;
  private final String requestId;
  private final Optional<Prompt> prompt;
  private Optional<RunnerAttempt> first = Optional.empty();
  private Optional<RunnerAttempt> copy = Optional.empty();
  private boolean isDecided;

  RequestHedge(
      RelayServer server,
      HedgePolicy policy,
      Route route,
      String service,
      String requestId,
      Optional<Prompt> prompt) {
    this.server = server;
    this.state = server.state();
    this.policy = policy;
    this.route = route;
    this.service = service;
    this.requestId = requestId;
    this.prompt = prompt;
  }

  /** Returns whether it is time to decide about a copy of a request that was sent once. */
  boolean isDue(RunnerAttempt attempt, int sent, Instant now) {
    return !isDecided
        && sent == 1
        && attempt.connection.isPresent()
        && !attempt.hasResponse
        && policy.isDue(
            route.name(), attempt.expectedTime(), Duration.between(attempt.sentAt, now), now);
  }

  /** Returns those of the given runners to which the copy may be sent. */
  List<Runner> candidates(List<Runner> runners, Instant now) {
    return policy.candidates(runners, now);
  }

  /** Returns why a planned copy must not be sent, regardless of the retry budget. */
  Optional<HedgeDenial> denial(
      RunnerAttempt waiting, Optional<? extends RunnerAttempt> planned, Instant now) {
    return policy.denial(
        service,
        state.runners().availableRunners(service),
        planned.map(attempt -> describe(waiting, attempt, now)),
        server.queue().waitingAhead(service, Runner.RANKS) > 0);
  }

  private HedgePolicy.Copy describe(RunnerAttempt waiting, RunnerAttempt planned, Instant now) {
    Runner runner = planned.runner;
    boolean isFetchPossible = state.runnerClockMillis().isPresent();
    return new HedgePolicy.Copy(
        runner,
        runner.running() + state.peers().running(runner.id(), now),
        waiting.runner,
        Optional.ofNullable(planned.selection)
            .map(known -> new HedgePolicy.Prompted(prompt.get(), known, isFetchPossible)));
  }

  /** Records that no copy is sent. */
  void onDenied(RunnerAttempt waiting, HedgeDenial denial, Instant now) {
    isDecided = true;
    state.metrics().count("relay.hedge_denied." + denial.code());
    log("hedge_denied", waiting, denial.code(), now);
  }

  /** Records that a copy is sent while the first attempt is kept. */
  void onSent(RunnerAttempt waiting, RunnerAttempt sentCopy, Instant now) {
    isDecided = true;
    first = Optional.of(waiting);
    copy = Optional.of(sentCopy);
    policy.recordHedge(service);
    state.metrics().countRetry("hedge");
    log("hedge_sent", sentCopy, "no answer from " + waiting.runner.id(), now);
  }

  /** Returns whether an attempt is the first one and waits beside its copy. */
  boolean isFirst(RunnerAttempt attempt) {
    return first.filter(attempt::equals).isPresent();
  }

  /** Records the time to the first response of an attempt. */
  void recordFirstResponse(RunnerAttempt attempt, Instant now) {
    policy.recordFirstResponse(
        route.name(), attempt.expectedTime(), Duration.between(attempt.sentAt, now), now);
  }

  /**
   * Records that an attempt was answered and the other is to be cancelled. That is not a failure of
   * its runner. If that runner has sent nothing at all, the node checks whether it can be reached:
   * its silence would not be noticed otherwise, since each request to it ends early.
   */
  void onAnswered(RunnerAttempt attempt, Instant now) {
    if (copy.filter(attempt::equals).isEmpty()) {
      return;
    }
    log("hedge_won", attempt, "answered first", now);
    RunnerAttempt loser = first.get();
    if (!loser.hasResponse) {
      recordFirstResponse(loser, now);
    }
    if (loser.lastActivityAt.equals(loser.sentAt)) {
      server.verify(loser.runner);
    }
    end();
  }

  /** Records that the first attempt goes on alone. */
  void onLost(Instant now) {
    copy.ifPresent(lost -> log("hedge_lost", lost, "the first attempt goes on alone", now));
    end();
  }

  private void end() {
    first = Optional.empty();
    copy = Optional.empty();
  }

  private void log(String event, RunnerAttempt attempt, String detail, Instant now) {
    state.metrics().count("relay." + event);
    state
        .log()
        .info(
            event,
            line ->
                line.with("request", requestId)
                    .with("route", route.name())
                    .with("runner", attempt.runner.id())
                    .with(
                        "age_ms",
                        first
                            .or(() -> Optional.of(attempt))
                            .map(known -> Duration.between(known.sentAt, now).toMillis())
                            .get())
                    .with("detail", detail));
  }
}
