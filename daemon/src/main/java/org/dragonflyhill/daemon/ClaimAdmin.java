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
 * Lists non-repeatable requests for operators and resolves requests whose outcome is unknown.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class ClaimAdmin {

  private static final String UNKNOWN = "unknown";

  private final ClaimController claims;
  private final RemoteRunCheck remoteRunCheck;
  private final NodeMetrics metrics;
  private final InstantSource clock;

  ClaimAdmin(
      ClaimController claims,
      RemoteRunCheck remoteRunCheck,
      NodeMetrics metrics,
      InstantSource clock) {
    this.claims = claims;
    this.remoteRunCheck = remoteRunCheck;
    this.metrics = metrics;
    this.clock = clock;
  }

  /**
   * Lists requests.
   *
   * @param state {@code unknown} to list only requests that have no outcome and do not run on this
   *     node; otherwise all requests are listed
   */
  List<ClaimView> list(Optional<String> state) {
    Instant now = clock.instant();
    boolean isUnknownOnly = state.filter(UNKNOWN::equals).isPresent();
    List<ClaimTable.Entry> entries =
        isUnknownOnly ? claims.entriesWithoutOutcome() : claims.entries();
    return entries.stream()
        .map(entry -> toView(entry, now))
        .filter(view -> !isUnknownOnly || !view.state().equals("running"))
        .toList();
  }

  /**
   * Resolves a request.
   *
   * @param body a {@link Resolution} as JSON
   */
  Mono<Result> resolve(String body) {
    return Json.read(body, Resolution.class)
        .fold(fault -> Mono.just(Result.of(400, "bad_request", fault)), this::resolve);
  }

  private Mono<Result> resolve(Resolution resolution) {
    var key = new ClaimEvent.RequestKey(resolution.organisation(), resolution.key());
    Optional<ClaimTable.Entry> entry =
        claims.entry(key).filter(known -> known.claimId().equals(resolution.claimId()));
    if (entry.isEmpty()) {
      return Mono.just(Result.of(404, "not_found", "this node knows no such claim"));
    }
    Optional<Result> refusal = refusal(entry.get(), resolution, clock.instant());
    if (refusal.isPresent()) {
      return Mono.just(refusal.get());
    }
    // A claiming node that does not answer counts as not running the request. This is safe because
    // of the minimum age of a claim that is resolved as not executed: by then, its request has
    // ended.
    return remoteRunCheck
        .isRunning(entry.get().node(), key)
        .flatMap(
            isRunning ->
                isRunning
                    ? Mono.just(
                        Result.of(
                            409, "in_progress", entry.get().node() + " is running the request"))
                    : append(resolution, key));
  }

  private Mono<Result> append(Resolution resolution, ClaimEvent.RequestKey key) {
    var resolved =
        new ClaimEvent.Resolved(
            key, resolution.claimId(), resolution.executed(), resolution.operator());
    return claims
        .appendAndReadToEnd(resolved)
        .map(appendResult -> toResult(resolution, key, appendResult));
  }

  private Optional<Result> refusal(ClaimTable.Entry entry, Resolution resolution, Instant now) {
    if (entry.outcome().isPresent()) {
      return Optional.of(Result.of(409, "outcome_known", "the outcome is already recorded"));
    }
    if (claims.progress(entry, now) == ClaimController.Progress.RUNS_HERE) {
      return Optional.of(Result.of(409, "in_progress", "this node is running the request"));
    }
    Duration age = Duration.between(Instant.ofEpochMilli(entry.atMillis()), now);
    Duration minAge = claims.limits().minNotExecutedAge();
    if (!resolution.executed() && age.compareTo(minAge) < 0) {
      return Optional.of(
          Result.of(
              409,
              "too_early",
              "a claim can be resolved as not executed only " + minAge + " after it was made"));
    }
    return Optional.empty();
  }

  private Result toResult(
      Resolution resolution, ClaimEvent.RequestKey key, Either<PlatformError, Long> appendResult) {
    Optional<ClaimTable.Entry> currentEntry =
        claims.entry(key).filter(known -> known.claimId().equals(resolution.claimId()));
    boolean isApplied =
        resolution.executed()
            ? currentEntry
                .flatMap(ClaimTable.Entry::outcome)
                .filter(this::isResolvedByOperator)
                .isPresent()
            : currentEntry.isEmpty();
    if (isApplied) {
      metrics.count("claims.resolved");
      return Result.of(200, "resolved", "resolved by " + resolution.operator());
    }
    return appendResult.isLeft()
        ? Result.of(
            503,
            "log_unavailable",
            "the log may still accept the resolution; list the request again")
        : Result.of(409, "outcome_known", "the outcome was recorded in the meantime");
  }

  private boolean isResolvedByOperator(ClaimTable.Outcome outcome) {
    return outcome instanceof ClaimTable.Outcome.ResolvedAsRun;
  }

  private ClaimView toView(ClaimTable.Entry entry, Instant now) {
    String state =
        switch (entry.outcome()) {
          case Optional<ClaimTable.Outcome> known when known.isPresent() -> stateName(known.get());
          default -> stateName(claims.progress(entry, now));
        };
    return new ClaimView(
        entry.key().organisation(),
        entry.key().idempotencyKey(),
        entry.claimId(),
        entry.node(),
        Instant.ofEpochMilli(entry.atMillis()).toString(),
        state);
  }

  private static String stateName(ClaimTable.Outcome outcome) {
    return switch (outcome) {
      case ClaimTable.Outcome.Ran ran -> "settled";
      case ClaimTable.Outcome.ResolvedAsRun resolved -> "resolved_as_run";
    };
  }

  private static String stateName(ClaimController.Progress progress) {
    return switch (progress) {
      case RUNS_HERE -> "running";
      case MAY_RUN_ELSEWHERE -> "may_run_elsewhere";
      case UNKNOWN -> UNKNOWN;
    };
  }

  /** Asks other nodes whether they still run a request. Thread-safe; no argument may be null. */
  interface RemoteRunCheck {

    /** Returns whether a node reports that it runs the request; false if it does not answer. */
    Mono<Boolean> isRunning(String node, ClaimEvent.RequestKey key);

    /** Returns a check that asks nodes over the peer protocol. */
    static RemoteRunCheck usingPeers(PeerController peers) {
      return (node, key) ->
          peers
              .queryOutcomes(key.organisation(), key.idempotencyKey())
              .map(known -> known.get(node) == PeerMessage.Outcome.RUNNING);
    }
  }

  /**
   * A request in the list for operators.
   *
   * @param organisation name of the organisation
   * @param key idempotency key
   * @param claimId id of the claim
   * @param node node that made the claim
   * @param since time of the claim, ISO 8601
   * @param state {@code settled}, {@code resolved_as_run}, {@code running}, {@code
   *     may_run_elsewhere} or {@code unknown}
   */
  record ClaimView(
      String organisation, String key, String claimId, String node, String since, String state) {}

  /**
   * An operator's statement whether a request was executed.
   *
   * @param organisation name of the organisation
   * @param key idempotency key
   * @param claimId id of the claim
   * @param executed whether the request was executed
   * @param operator name of the operator
   */
  record Resolution(
      String organisation, String key, String claimId, boolean executed, String operator) {}

  /**
   * Result of a resolution.
   *
   * @param status HTTP status
   * @param result stable result code
   * @param detail human-readable explanation
   */
  record Result(int status, String result, String detail) {

    static Result of(int status, String result, String detail) {
      return new Result(status, result, detail);
    }
  }
}
