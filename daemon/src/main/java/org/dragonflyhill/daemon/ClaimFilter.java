package org.dragonflyhill.daemon;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.Optional;
import org.dragonflyhill.core.ClaimEvent;
import org.dragonflyhill.core.ClaimTable;
import org.dragonflyhill.core.Execution;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.platform.Json;
import reactor.core.publisher.Mono;

/** Lets a non-repeatable request through at most once. Thread-safe; nothing is null. */
public final class ClaimFilter implements RequestFilter {

  private final ClaimController claims;
  private final InstantSource clock;

  /** Creates a filter. */
  public ClaimFilter(ClaimController claims, InstantSource clock) {
    this.claims = claims;
    this.clock = clock;
  }

  @Override
  public Mono<Reply> handle(RequestContext context, Handler next) {
    if (context.call() instanceof Call.OutcomeQuery query) {
      return Mono.just(outcome(context, query));
    }
    if (context.requiredTreatment().isRepeatable()) {
      return next.handle(context);
    }
    Optional<String> key = context.headers().idempotencyKey();
    if (key.isEmpty()) {
      return problem(
          Refusal.notRun(
              RefusalReason.KEY_MISSING, "this operation needs an Idempotency-Key header"));
    }
    var requestKey = new ClaimEvent.RequestKey(context.requiredOrganisation().name(), key.get());
    String digest = AuthenticationFilter.sha256(Json.write(context.call()));
    return claims
        .claim(requestKey, digest, clock.instant())
        .flatMap(claimed -> claimed(context, next, digest, claimed));
  }

  private Mono<Reply> claimed(
      RequestContext context,
      Handler next,
      String digest,
      Either<Refusal, ClaimController.Claim> claimed) {
    if (claimed.isLeft()) {
      return problem(claimed.getLeft());
    }
    ClaimController.Claim claim = claimed.get();
    if (!claim.isWon()) {
      return Mono.just(earlier(claim.entry(), digest));
    }
    return next.handle(context).flatMap(reply -> settle(claim.entry(), reply));
  }

  private Mono<Reply> settle(ClaimTable.Entry entry, Reply reply) {
    ClaimEvent event =
        switch (reply) {
          case Reply.Json json ->
              new ClaimEvent.Settled(entry.key(), entry.claimId(), json.status(), json.body());
          case Reply.Problem problem when problem.refusal().execution() == Execution.NO ->
              new ClaimEvent.Released(entry.key(), entry.claimId());
          case Reply.Problem problem -> null;
          case Reply.Stream stream -> null;
        };
    return event == null ? Mono.just(reply) : claims.append(event).thenReturn(reply);
  }

  private Reply outcome(RequestContext context, Call.OutcomeQuery query) {
    var key =
        new ClaimEvent.RequestKey(context.requiredOrganisation().name(), query.idempotencyKey());
    return claims
        .entry(key)
        .map(entry -> earlier(entry, entry.requestDigest()))
        .orElseGet(
            () -> new Reply.Problem(Refusal.notRun(RefusalReason.NOT_FOUND, "no such request")));
  }

  private static Reply earlier(ClaimTable.Entry entry, String digest) {
    if (!entry.requestDigest().equals(digest)) {
      return new Reply.Problem(
          Refusal.notRun(RefusalReason.KEY_REUSED, "the key was used before with another request"));
    }
    if (entry.outcome().isEmpty()) {
      return new Reply.Problem(
          Refusal.unknown(
              RefusalReason.OUTCOME_UNKNOWN, "an earlier copy was claimed, with no outcome yet"));
    }
    return switch (entry.outcome().get()) {
      case ClaimTable.Outcome.Ran ran -> new Reply.Json(ran.status(), ran.answer());
      case ClaimTable.Outcome.ResolvedAsRun resolved ->
          new Reply.Problem(
              Refusal.ran(RefusalReason.OUTCOME_UNKNOWN, "it was run; its answer was not kept"));
    };
  }

  private static Mono<Reply> problem(Refusal refusal) {
    return Mono.just(new Reply.Problem(refusal));
  }
}
