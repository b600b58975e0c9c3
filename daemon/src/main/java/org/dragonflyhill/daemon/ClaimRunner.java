package org.dragonflyhill.daemon;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.core.ClaimEvent;
import org.dragonflyhill.core.ClaimTable;
import org.dragonflyhill.core.Execution;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import reactor.core.publisher.Mono;

/**
 * Dispatches a request whose claim was won, once, and records its outcome in the background.
 *
 * <p>Thread-safe; nothing is null.
 */
final class ClaimRunner {

  /** Largest answer that is kept for copies. */
  static final int MAX_KEPT_ANSWER_BYTES = 4 * 1_024;

  private static final Logger LOGGER = LogManager.getLogger(ClaimRunner.class);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration MAX_STOP_DELAY = Duration.ofSeconds(30);

  private final ClaimController claims;
  private final ClaimStepFault stepFault;
  private final DrainController drain;
  private final InstantSource clock;

  /**
   * Creates a runner.
   *
   * @param claims records outcomes
   * @param stepFault fault switch of tests
   * @param drain holds a planned stop until the outcome is recorded
   * @param clock gives the present time
   */
  ClaimRunner(
      ClaimController claims,
      ClaimStepFault stepFault,
      DrainController drain,
      InstantSource clock) {
    this.claims = claims;
    this.stepFault = stepFault;
    this.drain = drain;
    this.clock = clock;
  }

  /** Holds a planned stop while a request is claimed and run, whether its caller waits or not. */
  Mono<Reply> trackForDrain(RequestContext context, Mono<Reply> reply) {
    return Mono.using(
        () -> drain.begin(context.requestId() + "/claim", clock.instant()),
        running -> reply,
        DrainController.RequestTracker::close);
  }

  /** Runs a request; the reply does not wait for the log to take the outcome. */
  Mono<Reply> run(RequestContext context, RequestFilter.Handler next, ClaimController.Claim claim) {
    stepFault.onStep(ClaimStep.AFTER_CLAIM_WON);
    DispatchPermit permit = () -> mayDispatch(claim);
    DrainController.RequestTracker running = drain.begin(claim.entry().claimId(), clock.instant());
    Mono<Reply> reply =
        claims.mayDispatch(claim, clock.instant(), System.nanoTime())
            ? Mono.defer(() -> next.handle(context))
            : Mono.just(new Reply.Problem(claimExpired()));
    return reply
        .contextWrite(values -> values.put(DispatchPermit.class, permit))
        .onErrorResume(error -> Mono.just(internalError(context, error)))
        .doOnNext(answer -> recordOutcome(claim.entry(), answer, running));
  }

  private boolean mayDispatch(ClaimController.Claim claim) {
    stepFault.onStep(ClaimStep.BEFORE_DISPATCH);
    return claims.mayDispatch(claim, clock.instant(), System.nanoTime());
  }

  private void recordOutcome(
      ClaimTable.Entry entry, Reply reply, DrainController.RequestTracker running) {
    stepFault.onStep(ClaimStep.AFTER_DISPATCH);
    switch (reply) {
      case Reply.Json json -> settle(entry, json, running);
      case Reply.Problem problem when problem.refusal().execution() == Execution.NO ->
          release(entry, running);
      case Reply.Problem problem -> leaveUnknown(entry, running);
      case Reply.Stream stream -> leaveUnknown(entry, running);
    }
  }

  private void settle(
      ClaimTable.Entry entry, Reply.Json json, DrainController.RequestTracker running) {
    stepFault.onStep(ClaimStep.BEFORE_SETTLE);
    Optional<String> kept =
        Optional.of(json.body())
            .filter(body -> body.getBytes(StandardCharsets.UTF_8).length <= MAX_KEPT_ANSWER_BYTES);
    String digest = AuthenticationFilter.sha256(json.body());
    var settled = new ClaimEvent.Settled(entry.key(), entry.claimId(), json.status(), kept, digest);
    closeWhenRecorded(claims.settle(settled), running, ClaimStep.AFTER_SETTLE);
  }

  private void release(ClaimTable.Entry entry, DrainController.RequestTracker running) {
    closeWhenRecorded(
        claims.release(entry.key(), entry.claimId()), running, ClaimStep.AFTER_SETTLE);
  }

  private void leaveUnknown(ClaimTable.Entry entry, DrainController.RequestTracker running) {
    claims.markOutcomeUnknown(entry.claimId());
    running.close();
  }

  private void closeWhenRecorded(
      Mono<Void> recorded, DrainController.RequestTracker running, ClaimStep step) {
    recorded.doOnSuccess(nothing -> stepFault.onStep(step)).subscribe();
    // A planned stop waits for the log only so long: the outcome then stays unknown, which is true.
    recorded.timeout(MAX_STOP_DELAY, Mono.empty()).doFinally(signal -> running.close()).subscribe();
  }

  private static Reply internalError(RequestContext context, Throwable error) {
    LOGGER.error("request {} failed", context.requestId(), error);
    return new Reply.Problem(
        Refusal.unknown(RefusalReason.INTERNAL, "a fault of the node, see its log"));
  }

  private static Refusal claimExpired() {
    return Refusal.notRun(RefusalReason.CLAIM_EXPIRED, "the claim grew too old to be dispatched")
        .withRetryAfter(RETRY_AFTER);
  }
}
