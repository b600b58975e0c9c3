package org.dragonflyhill.daemon;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.dragonflyhill.core.ClaimEvent;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.ports.Json;
import reactor.core.publisher.Mono;

/**
 * Runs each non-repeatable request at most once.
 *
 * <p>If the caller disconnects or its deadline passes, the request continues to run and its outcome
 * is still recorded. Thread-safe; no argument may be null.
 */
public final class ClaimFilter implements RequestFilter {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final ClaimController claims;
  private final ClaimRunner runner;
  private final InstantSource clock;

  /**
   * Creates a filter.
   *
   * @param claims claims requests for this node
   * @param runner runs claimed requests
   * @param clock clock for deadlines and claims
   */
  ClaimFilter(ClaimController claims, ClaimRunner runner, InstantSource clock) {
    this.claims = claims;
    this.runner = runner;
    this.clock = clock;
  }

  @Override
  public Mono<Reply> handle(RequestContext context, Handler next) {
    if (context.call() instanceof Call.OutcomeQuery query) {
      return Mono.just(outcomeReply(context, query));
    }
    if (context.requiredClassification().isRepeatable()) {
      return next.handle(context);
    }
    Optional<Refusal> refusal = validate(context);
    if (refusal.isPresent()) {
      return problem(refusal.get());
    }
    Mono<Reply> run = runner.trackForDrain(context, claimAndRun(context, next)).cache();
    run.subscribe();
    return run.timeout(timeLeft(context), Mono.fromSupplier(ClaimFilter::deadlinePassed));
  }

  private static Optional<Refusal> validate(RequestContext context) {
    if (context.headers().idempotencyKey().isEmpty()) {
      return Optional.of(
          Refusal.notRun(
              RefusalReason.KEY_MISSING, "this operation needs an Idempotency-Key header"));
    }
    if (context.call() instanceof Call.Completion completion && completion.isStreamed()) {
      return Optional.of(
          Refusal.notRun(
              RefusalReason.BAD_REQUEST,
              "stream: true, expected false for a non-repeatable request"));
    }
    return Optional.empty();
  }

  private Mono<Reply> claimAndRun(RequestContext context, Handler next) {
    var key =
        new ClaimEvent.RequestKey(
            context.requiredOrganisation().name(),
            context.headers().idempotencyKey().orElseThrow());
    String digest = AuthenticationFilter.sha256(Json.write(context.call()));
    Instant deadline = context.requiredClassification().deadline();
    return claims
        .claim(key, digest, deadline, clock.instant())
        .flatMap(claimed -> onClaimResult(context, next, digest, claimed));
  }

  private Mono<Reply> onClaimResult(
      RequestContext context,
      Handler next,
      String digest,
      Either<Refusal, ClaimController.Claim> claimed) {
    if (claimed.isLeft()) {
      return problem(withoutClaim(claimed.getLeft()));
    }
    ClaimController.Claim claim = claimed.get();
    return claim.isWon()
        ? runner.run(context, next, claim)
        : Mono.just(ClaimReplies.forDuplicate(claims, claim.entry(), digest, clock.instant()));
  }

  // A node that has not read all claims cannot tell whether another node has run a copy.
  private static Refusal withoutClaim(Refusal refusal) {
    return refusal.reason() == RefusalReason.CLAIMS_NOT_READ
        ? withUnknownExecution(refusal)
        : refusal;
  }

  private Duration timeLeft(RequestContext context) {
    Duration remaining =
        Duration.between(clock.instant(), context.requiredClassification().deadline());
    return remaining.isNegative() ? Duration.ZERO : remaining;
  }

  private static Reply deadlinePassed() {
    return new Reply.Problem(
        Refusal.unknown(
                RefusalReason.DEADLINE_PASSED,
                "the request may still be running; query its outcome by key")
            .withRetryAfter(RETRY_AFTER));
  }

  private Reply outcomeReply(RequestContext context, Call.OutcomeQuery query) {
    var key =
        new ClaimEvent.RequestKey(context.requiredOrganisation().name(), query.idempotencyKey());
    Instant now = clock.instant();
    return claims
        .entry(key)
        .map(entry -> ClaimReplies.forDuplicate(claims, entry, entry.requestDigest(), now))
        .orElseGet(() -> new Reply.Problem(notFoundRefusal(now)));
  }

  // A missing entry does not prove that the request was not run: another node may have appended a
  // claim that this node has not read yet.
  private Refusal notFoundRefusal(Instant now) {
    return claims
        .notReadyRefusal(now)
        .map(ClaimFilter::withUnknownExecution)
        .orElseGet(
            () ->
                Refusal.unknown(
                    RefusalReason.NOT_FOUND, "this node knows no request with this key"));
  }

  private static Refusal withUnknownExecution(Refusal notReady) {
    Refusal unknown = Refusal.unknown(notReady.reason(), notReady.detail());
    return notReady.retryAfter().map(unknown::withRetryAfter).orElse(unknown);
  }

  private static Mono<Reply> problem(Refusal refusal) {
    return Mono.just(new Reply.Problem(refusal));
  }
}
