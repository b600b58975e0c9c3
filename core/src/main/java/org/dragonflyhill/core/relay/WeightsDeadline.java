package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * The time by which requests must no longer begin on replaced weights. Immutable.
 *
 * @param limit time after the announcement of newer weights, from the platform specification
 * @param recoveryTime time after a restart or an outage for which the platform does not hold a node
 *     to the limit
 */
public record WeightsDeadline(Duration limit, Duration recoveryTime) {

  /**
   * Fraction of the limit after which the remaining runners change at once instead of after their
   * running requests.
   */
  private static final double IMMEDIATE_CHANGE_SHARE = 0.5;

  /**
   * Margin between the latest time at which a request may be sent to replaced weights and the
   * limit. It is longer than {@link #CANCEL_MARGIN}, since the request needs time to begin.
   */
  public static final Duration SEND_MARGIN = Duration.ofMillis(1_500);

  /** Factor on the estimated time to first token, since queues grow while runners change. */
  private static final double ESTIMATE_FACTOR = 3;

  /**
   * Margin before the limit at which a request that has not begun is cancelled. A runner that is
   * silent for a second, as a sound one may be, notices the cancellation only then.
   */
  public static final Duration CANCEL_MARGIN = Duration.ofMillis(1_000);

  /** Creates a deadline that a node has to keep from half of the limit after its start on. */
  public WeightsDeadline(Duration limit) {
    this(limit, limit.dividedBy(2));
  }

  /**
   * Returns the time from which the limit counts for weights whose announcement was read just now.
   *
   * @param absentAt when this node last knew that they were not announced yet, empty if it never
   *     did, as after its start
   * @param now present time
   */
  public Instant countsFrom(Optional<Instant> absentAt, Instant now) {
    // With an earlier time, requests would be refused which the platform allows.
    Instant earliest = now.minus(limit).plus(recoveryTime);
    return absentAt.filter(earliest::isBefore).orElse(earliest);
  }

  /**
   * Returns whether a request may still be sent to a runner.
   *
   * @param replacedAt when newer weights than the runner's were announced, empty if its are newest
   * @param firstTokenSeconds estimated time until the request begins, in seconds
   * @param now present time
   */
  public boolean maySend(Optional<Instant> replacedAt, double firstTokenSeconds, Instant now) {
    Duration wait = Duration.ofNanos((long) (firstTokenSeconds * ESTIMATE_FACTOR * 1e9));
    return replacedAt
        .map(at -> now.plus(wait).isBefore(at.plus(limit).minus(SEND_MARGIN)))
        .orElse(true);
  }

  /** Returns whether a request that has not begun on replaced weights must be cancelled now. */
  public boolean mustCancel(Optional<Instant> replacedAt, Instant now) {
    return replacedAt.filter(at -> !now.isBefore(at.plus(limit).minus(CANCEL_MARGIN))).isPresent();
  }

  /** Returns whether a runner should change its weights without waiting for running requests. */
  public boolean isChangeUrgent(Instant replacedAt, Instant now) {
    Duration wait = Duration.ofNanos((long) (limit.toNanos() * IMMEDIATE_CHANGE_SHARE));
    return !now.isBefore(replacedAt.plus(wait));
  }
}
