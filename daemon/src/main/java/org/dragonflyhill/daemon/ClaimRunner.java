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
  private final ClaimStepFault fault;
  private final DrainController drain;
  private final InstantSource clock;

  /**
   * Creates a runner.
   *
   * @param claims records outcomes
   * @param fault fault switch of tests
   * @param drain holds a planned stop until the outcome is recorded
   * @param clock gives the present time
   */
  ClaimRunner(
      ClaimController claims, ClaimStepFault fault, DrainController drain, InstantSource clock) {
    this.claims = claims;
    this.fault = fault;
    this.drain = drain;
    this.clock = clock;
  }

  /** Holds a planned stop while a request is claimed and run, whether its caller waits or not. */
  Mono<Reply> hold(RequestContext context, Mono<Reply> reply) {
    return Mono.using(
        () -> drain.begin(context.requestId() + "/claim", clock.instant()),
        running -> reply,
        DrainController.Running::close);
  }

  /** Runs a request; the reply does not wait for the log to take the outcome. */
  Mono<Reply> run(RequestContext context, RequestFilter.Handler next, ClaimController.Claim claim) {
    fault.reach(ClaimStep.AFTER_CLAIM_WON);
    DispatchPermit permit = () -> mayDispatch(claim);
    DrainController.Running running = drain.begin(claim.entry().claimId(), clock.instant());
    Mono<Reply> reply =
        claims.mayDispatch(claim, clock.instant(), System.nanoTime())
            ? Mono.defer(() -> next.handle(context))
            : Mono.just(new Reply.Problem(tooLate()));
    return reply
        .contextWrite(values -> values.put(DispatchPermit.class, permit))
        .onErrorResume(error -> Mono.just(fault(context, error)))
        .doOnNext(answer -> record(claim.entry(), answer, running));
  }

  private boolean mayDispatch(ClaimController.Claim claim) {
    fault.reach(ClaimStep.BEFORE_DISPATCH);
    return claims.mayDispatch(claim, clock.instant(), System.nanoTime());
  }

  private void record(ClaimTable.Entry entry, Reply reply, DrainController.Running running) {
    fault.reach(ClaimStep.AFTER_DISPATCH);
    switch (reply) {
      case Reply.Json json -> settle(entry, json, running);
      case Reply.Problem problem when problem.refusal().execution() == Execution.NO ->
          release(entry, running);
      case Reply.Problem problem -> leaveUnknown(entry, running);
      case Reply.Stream stream -> leaveUnknown(entry, running);
    }
  }

  private void settle(ClaimTable.Entry entry, Reply.Json json, DrainController.Running running) {
    fault.reach(ClaimStep.BEFORE_SETTLE);
    Optional<String> kept =
        Optional.of(json.body())
            .filter(body -> body.getBytes(StandardCharsets.UTF_8).length <= MAX_KEPT_ANSWER_BYTES);
    String digest = AuthenticationFilter.sha256(json.body());
    var settled = new ClaimEvent.Settled(entry.key(), entry.claimId(), json.status(), kept, digest);
    whenRecorded(claims.settle(settled), running, ClaimStep.AFTER_SETTLE);
  }

  private void release(ClaimTable.Entry entry, DrainController.Running running) {
    whenRecorded(claims.release(entry.key(), entry.claimId()), running, ClaimStep.AFTER_SETTLE);
  }

  private void leaveUnknown(ClaimTable.Entry entry, DrainController.Running running) {
    claims.leaveUnknown(entry.claimId());
    running.close();
  }

  private void whenRecorded(Mono<Void> recorded, DrainController.Running running, ClaimStep step) {
    recorded.doOnSuccess(nothing -> fault.reach(step)).subscribe();
    // A planned stop waits for the log only so long: the outcome then stays unknown, which is true.
    recorded.timeout(MAX_STOP_DELAY, Mono.empty()).doFinally(signal -> running.close()).subscribe();
  }

  private static Reply fault(RequestContext context, Throwable error) {
    LOGGER.error("request {} failed", context.requestId(), error);
    return new Reply.Problem(
        Refusal.unknown(RefusalReason.INTERNAL, "a fault of the node, see its log"));
  }

  private static Refusal tooLate() {
    return Refusal.notRun(RefusalReason.CLAIM_EXPIRED, "the claim grew too old to be dispatched")
        .withRetryAfter(RETRY_AFTER);
  }
}
