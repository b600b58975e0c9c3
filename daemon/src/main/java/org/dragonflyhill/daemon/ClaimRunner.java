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
 * Dispatches the request of a won claim once and records its outcome in the background.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class ClaimRunner {

  /** Maximum size of an answer that is kept for duplicates of the request. */
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
   * @param stepFault fault injection for tests
   * @param drain delays a planned stop until the outcome is recorded
   * @param clock clock for the age of claims
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

  /** Delays a planned stop while a request is claimed and run, even if its caller disconnected. */
  Mono<Reply> trackForDrain(RequestContext context, Mono<Reply> reply) {
    return Mono.using(
        () -> drain.begin(context.requestId() + "/claim", clock.instant()),
        tracker -> reply,
        DrainController.RequestTracker::close);
  }

  /** Runs a request. The reply does not wait until the log has accepted the outcome. */
  Mono<Reply> run(RequestContext context, RequestFilter.Handler next, ClaimController.Claim claim) {
    stepFault.onStep(ClaimStep.AFTER_CLAIM_WON);
    DispatchPermit permit = () -> mayDispatch(claim);
    DrainController.RequestTracker tracker = drain.begin(claim.entry().claimId(), clock.instant());
    Mono<Reply> reply =
        claims.mayDispatch(claim, clock.instant(), System.nanoTime())
            ? Mono.defer(() -> next.handle(context))
            : Mono.just(new Reply.Problem(claimExpired()));
    return reply
        .contextWrite(values -> values.put(DispatchPermit.class, permit))
        .onErrorResume(error -> Mono.just(internalError(context, error)))
        .doOnNext(answer -> recordOutcome(claim.entry(), answer, tracker));
  }

  private boolean mayDispatch(ClaimController.Claim claim) {
    stepFault.onStep(ClaimStep.BEFORE_DISPATCH);
    return claims.mayDispatch(claim, clock.instant(), System.nanoTime());
  }

  private void recordOutcome(
      ClaimTable.Entry entry, Reply reply, DrainController.RequestTracker tracker) {
    stepFault.onStep(ClaimStep.AFTER_DISPATCH);
    switch (reply) {
      case Reply.Json json -> settle(entry, json, tracker);
      case Reply.Problem problem when problem.refusal().execution() == Execution.NO ->
          release(entry, tracker);
      case Reply.Problem problem -> markOutcomeUnknown(entry, tracker);
      case Reply.Stream stream -> markOutcomeUnknown(entry, tracker);
    }
  }

  private void settle(
      ClaimTable.Entry entry, Reply.Json json, DrainController.RequestTracker tracker) {
    stepFault.onStep(ClaimStep.BEFORE_SETTLE);
    Optional<String> kept =
        Optional.of(json.body())
            .filter(body -> body.getBytes(StandardCharsets.UTF_8).length <= MAX_KEPT_ANSWER_BYTES);
    String digest = AuthenticationFilter.sha256(json.body());
    var settled = new ClaimEvent.Settled(entry.key(), entry.claimId(), json.status(), kept, digest);
    closeWhenRecorded(claims.settle(settled), tracker, ClaimStep.AFTER_SETTLE);
  }

  private void release(ClaimTable.Entry entry, DrainController.RequestTracker tracker) {
    closeWhenRecorded(
        claims.release(entry.key(), entry.claimId()), tracker, ClaimStep.AFTER_SETTLE);
  }

  private void markOutcomeUnknown(ClaimTable.Entry entry, DrainController.RequestTracker tracker) {
    claims.markOutcomeUnknown(entry.claimId());
    tracker.close();
  }

  private void closeWhenRecorded(
      Mono<Void> recorded, DrainController.RequestTracker tracker, ClaimStep step) {
    recorded.doOnSuccess(nothing -> stepFault.onStep(step)).subscribe();
    // Limits how long a planned stop waits for the log. After that, other nodes report the outcome
    // as unknown, which is correct, and do not run the request again.
    recorded.timeout(MAX_STOP_DELAY, Mono.empty()).doFinally(signal -> tracker.close()).subscribe();
  }

  private static Reply internalError(RequestContext context, Throwable error) {
    LOGGER.error("request {} failed", context.requestId(), error);
    return new Reply.Problem(
        Refusal.unknown(RefusalReason.INTERNAL, "internal error, see the log of the node"));
  }

  private static Refusal claimExpired() {
    return Refusal.notRun(RefusalReason.CLAIM_EXPIRED, "the claim is too old to be dispatched")
        .withRetryAfter(RETRY_AFTER);
  }
}
