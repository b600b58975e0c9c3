package org.dragonflyhill.daemon;

import java.time.Duration;
import java.time.Instant;
import org.dragonflyhill.core.ClaimTable;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;

/**
 * Replies to duplicates of claimed requests. Stateless and thread-safe; no argument may be null.
 */
final class ClaimReplies {

  private static final Duration IN_PROGRESS_RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration UNKNOWN_RETRY_AFTER = Duration.ofSeconds(30);

  private ClaimReplies() {}

  /**
   * Returns the reply to a duplicate request.
   *
   * @param claims source of the progress of running requests
   * @param entry the winning claim
   * @param digest digest of the duplicate
   * @param now current time
   */
  static Reply forDuplicate(
      ClaimController claims, ClaimTable.Entry entry, String digest, Instant now) {
    if (!entry.requestDigest().equals(digest)) {
      return problem(
          Refusal.notRun(
              RefusalReason.KEY_REUSED, "the key was already used for a different request"));
    }
    return entry
        .outcome()
        .map(ClaimReplies::forRecordedOutcome)
        .orElseGet(() -> problem(withoutOutcome(claims.progress(entry, now))));
  }

  private static Reply forRecordedOutcome(ClaimTable.Outcome outcome) {
    return switch (outcome) {
      case ClaimTable.Outcome.Ran ran ->
          ran.answer()
              .map(answer -> (Reply) new Reply.Json(ran.status(), answer))
              .orElseGet(() -> problem(answerNotKept("status " + ran.status())));
      case ClaimTable.Outcome.ResolvedAsRun resolved ->
          problem(answerNotKept("an operator resolved it as executed"));
    };
  }

  private static Refusal withoutOutcome(ClaimController.Progress progress) {
    return switch (progress) {
      case RUNS_HERE, MAY_RUN_ELSEWHERE ->
          Refusal.unknown(RefusalReason.IN_PROGRESS, "a request with this key may still be running")
              .withRetryAfter(IN_PROGRESS_RETRY_AFTER);
      case UNKNOWN ->
          Refusal.unknown(
                  RefusalReason.OUTCOME_UNKNOWN,
                  "a request with this key was claimed and its outcome is unknown")
              .withRetryAfter(UNKNOWN_RETRY_AFTER);
    };
  }

  private static Refusal answerNotKept(String detail) {
    return Refusal.ran(
        RefusalReason.ANSWER_NOT_KEPT, "the request ran, but its answer was not kept: " + detail);
  }

  private static Reply problem(Refusal refusal) {
    return new Reply.Problem(refusal);
  }
}
