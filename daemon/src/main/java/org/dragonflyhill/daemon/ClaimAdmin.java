package org.dragonflyhill.daemon;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.ClaimEvent;
import org.dragonflyhill.core.ClaimTable;
import org.dragonflyhill.peer.PeerMessage;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.ports.PlatformError;
import reactor.core.publisher.Mono;

/**
 * What operators see of non-repeatable requests and how they resolve unknown outcomes.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class ClaimAdmin {

  private static final String UNKNOWN = "unknown";

  private final ClaimController claims;
  private final Claimants claimants;
  private final NodeMetrics metrics;
  private final InstantSource clock;

  ClaimAdmin(
      ClaimController claims, Claimants claimants, NodeMetrics metrics, InstantSource clock) {
    this.claims = claims;
    this.claimants = claimants;
    this.metrics = metrics;
    this.clock = clock;
  }

  /**
   * Lists requests.
   *
   * @param state {@code unknown} for those without an outcome that do not run on this node, else
   *     all
   */
  List<View> list(Optional<String> state) {
    Instant now = clock.instant();
    boolean isUnknownWanted = state.filter(UNKNOWN::equals).isPresent();
    List<ClaimTable.Entry> entries = isUnknownWanted ? claims.withoutOutcome() : claims.entries();
    return entries.stream()
        .map(entry -> view(entry, now))
        .filter(view -> !isUnknownWanted || !view.state().equals("running"))
        .toList();
  }

  /** Resolves a request, as the JSON body of an operator's call says. */
  Mono<Result> resolve(String body) {
    return Json.read(body, Resolution.class)
        .fold(fault -> Mono.just(Result.of(400, "bad_request", fault)), this::resolve);
  }

  private Mono<Result> resolve(Resolution wanted) {
    var key = new ClaimEvent.RequestKey(wanted.organisation(), wanted.key());
    Optional<ClaimTable.Entry> entry =
        claims.entry(key).filter(known -> known.claimId().equals(wanted.claimId()));
    if (entry.isEmpty()) {
      return Mono.just(Result.of(404, "not_found", "no such claim is known here"));
    }
    Optional<Result> refusal = refusal(entry.get(), wanted, clock.instant());
    if (refusal.isPresent()) {
      return Mono.just(refusal.get());
    }
    // A claiming node that does not answer is covered by the least age of the claim.
    return claimants
        .runs(entry.get().node(), key)
        .flatMap(
            runs ->
                runs
                    ? Mono.just(Result.of(409, "in_progress", entry.get().node() + " runs it"))
                    : append(wanted, key));
  }

  private Mono<Result> append(Resolution wanted, ClaimEvent.RequestKey key) {
    var resolved =
        new ClaimEvent.Resolved(key, wanted.claimId(), wanted.executed(), wanted.operator());
    return claims.appendAndRead(resolved).map(answer -> result(wanted, key, answer));
  }

  private Optional<Result> refusal(ClaimTable.Entry entry, Resolution wanted, Instant now) {
    if (entry.outcome().isPresent()) {
      return Optional.of(Result.of(409, "outcome_known", "its outcome is recorded"));
    }
    if (claims.progress(entry, now) == ClaimController.Progress.RUNS_HERE) {
      return Optional.of(Result.of(409, "in_progress", "this node runs it"));
    }
    Duration age = Duration.between(Instant.ofEpochMilli(entry.atMillis()), now);
    Duration least = claims.limits().resolve();
    if (!wanted.executed() && age.compareTo(least) < 0) {
      return Optional.of(
          Result.of(
              409, "too_early", "not executed can be said " + least + " after the claim, not yet"));
    }
    return Optional.empty();
  }

  private Result result(
      Resolution wanted, ClaimEvent.RequestKey key, Either<PlatformError, Long> answer) {
    Optional<ClaimTable.Entry> after =
        claims.entry(key).filter(known -> known.claimId().equals(wanted.claimId()));
    boolean isApplied =
        wanted.executed()
            ? after.flatMap(ClaimTable.Entry::outcome).filter(this::isResolved).isPresent()
            : after.isEmpty();
    if (isApplied) {
      metrics.count("claims.resolved");
      return Result.of(200, "resolved", "resolved by " + wanted.operator());
    }
    return answer.isLeft()
        ? Result.of(503, "log_unavailable", "it may be resolved later; list it again")
        : Result.of(409, "outcome_known", "its outcome was recorded meanwhile");
  }

  private boolean isResolved(ClaimTable.Outcome outcome) {
    return outcome instanceof ClaimTable.Outcome.ResolvedAsRun;
  }

  private View view(ClaimTable.Entry entry, Instant now) {
    String state =
        switch (entry.outcome()) {
          case Optional<ClaimTable.Outcome> known when known.isPresent() -> word(known.get());
          default -> word(claims.progress(entry, now));
        };
    return new View(
        entry.key().organisation(),
        entry.key().idempotencyKey(),
        entry.claimId(),
        entry.node(),
        Instant.ofEpochMilli(entry.atMillis()).toString(),
        state);
  }

  private static String word(ClaimTable.Outcome outcome) {
    return switch (outcome) {
      case ClaimTable.Outcome.Ran ran -> "settled";
      case ClaimTable.Outcome.ResolvedAsRun resolved -> "resolved_as_run";
    };
  }

  private static String word(ClaimController.Progress progress) {
    return switch (progress) {
      case RUNS_HERE -> "running";
      case MAY_RUN_ELSEWHERE -> "may_run_elsewhere";
      case UNKNOWN -> UNKNOWN;
    };
  }

  /** Asks other nodes whether they still run a request. Thread-safe; nothing is null. */
  interface Claimants {

    /** Returns whether a node says that it runs the request; false where it does not answer. */
    Mono<Boolean> runs(String node, ClaimEvent.RequestKey key);

    /** Returns claimants that are asked over the peer protocol. */
    static Claimants over(PeerController peers) {
      return (node, key) ->
          peers
              .outcomes(key.organisation(), key.idempotencyKey())
              .map(known -> known.get(node) == PeerMessage.Outcome.RUNNING);
    }
  }

  /**
   * A request as operators see it.
   *
   * @param organisation name of the organisation
   * @param key idempotency key
   * @param claimId id of the claim
   * @param node node that claimed
   * @param since time of the claim, ISO 8601
   * @param state {@code settled}, {@code resolved_as_run}, {@code running}, {@code
   *     may_run_elsewhere} or {@code unknown}
   */
  record View(
      String organisation, String key, String claimId, String node, String since, String state) {}

  /**
   * What an operator found out.
   *
   * @param organisation name of the organisation
   * @param key idempotency key
   * @param claimId id of the claim
   * @param executed whether the request was run
   * @param operator who found out
   */
  record Resolution(
      String organisation, String key, String claimId, boolean executed, String operator) {}

  /**
   * Result of a resolution.
   *
   * @param status HTTP status
   * @param result stable word
   * @param detail one sentence for people
   */
  record Result(int status, String result, String detail) {

    static Result of(int status, String result, String detail) {
      return new Result(status, result, detail);
    }
  }
}
