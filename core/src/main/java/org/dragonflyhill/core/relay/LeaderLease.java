package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Tracks the lease of the node that rolls out weights: decides when this node may acquire, renew
 * and act under it.
 *
 * <p>The lease belongs to the writer of the newest record of a log. A record is appended only at
 * the offset at which its writer saw the log end, so the order of the log alone decides who holds
 * the lease.
 *
 * <p>When the log has been restored from a copy, it may lack the record of a node that still acts,
 * or of several. The node that held the lease may acquire it again at once; all others wait until
 * its lease has expired, whatever holder the copy names. Fencing tokens are higher than all of the
 * epoch before.
 *
 * <p>A node waits longer than the lease duration before it takes over from a live holder, because
 * orders of two nodes in close succession are as harmful as concurrent ones.
 *
 * <p>All times are read from a monotonic clock. Not thread-safe; no argument may be null.
 */
public final class LeaderLease {

  /** Time after sending a record during which the holder may act. */
  public static final Duration DURATION = Duration.ofMillis(1_500);

  /** Age of its newest record at which the holder renews the lease. */
  public static final Duration RENEWAL_INTERVAL = Duration.ofMillis(500);

  /** Time that another node adds to the lease duration, since clocks run at different speeds. */
  public static final Duration CLOCK_DRIFT_MARGIN = Duration.ofMillis(300);

  private final String holder;
  private final Duration handoverDelay;
  private LogPosition logEnd = new LogPosition(0, 0);
  private Optional<String> lastHolder = Optional.empty();
  private Instant lastRecordAt = Instant.MIN;
  private Optional<Held> held = Optional.empty();

  /** Whether the log may lack the record of a holder, since it was restored. */
  private boolean isHolderUncertain;

  /** Expiry of the lease that this node held when it learned that the log was restored. */
  private Instant formerLeaseUntil = Instant.MIN;

  /**
   * Creates a lease without a known holder.
   *
   * @param holder identifier of this node and its incarnation, unique for each process start
   * @param handoverDelay minimum time between the orders of two live holders
   */
  public LeaderLease(String holder, Duration handoverDelay) {
    this.holder = holder;
    this.handoverDelay = handoverDelay;
  }

  /**
   * Updates the lease from a read of the log. This node loses the lease if another node wrote the
   * newest record.
   *
   * @param newEnd position behind the newest record; one of an older epoch is ignored
   * @param newestHolder writer of the newest record, empty if there is none
   * @param now present time
   */
  public void observeLog(LogPosition newEnd, Optional<String> newestHolder, Instant now) {
    if (newEnd.epoch() < logEnd.epoch()) {
      return;
    }
    if (newEnd.epoch() > logEnd.epoch()) {
      formerLeaseUntil = held(now).map(Held::expiresAt).orElse(Instant.MIN);
      held = Optional.empty();
      isHolderUncertain = true;
      recordEnd(newEnd, newestHolder, now);
    } else if (newEnd.offset() != logEnd.offset() || lastRecordAt.equals(Instant.MIN)) {
      // A record of this node may be one that it sent before the log was restored.
      isHolderUncertain &= newestHolder.filter(other -> !other.equals(holder)).isEmpty();
      recordEnd(newEnd, newestHolder, now);
    }
    if (held.isPresent() && !newestHolder.equals(Optional.of(holder))) {
      held = Optional.empty();
    }
  }

  private void recordEnd(LogPosition newEnd, Optional<String> newestHolder, Instant now) {
    logEnd = newEnd;
    lastHolder = newestHolder;
    lastRecordAt = now;
  }

  /** Returns the position at which the next record must be appended. */
  public LogPosition logEnd() {
    return logEnd;
  }

  /** Returns the holder named by the newest record. */
  public Optional<String> lastHolder() {
    return lastHolder;
  }

  /**
   * Records that a record of this node was appended, which acquires or renews the lease. A renewal
   * keeps the fencing token.
   *
   * @param position position of the record, in the epoch in which this node saw the log's end
   * @param sentAt time at which the append was sent; the lease duration starts here
   * @param now present time
   */
  public void confirmAppend(LogPosition position, Instant sentAt, Instant now) {
    if (position.epoch() < logEnd.epoch()) {
      return;
    }
    final long token = held.map(Held::token).orElse(position.fencingToken());
    recordEnd(position.next(), Optional.of(holder), now);
    isHolderUncertain = false;
    held = Optional.of(new Held(token, sentAt.plus(DURATION)));
  }

  /** Gives up the lease, for example when a clock jump shows that the process was suspended. */
  public void drop() {
    held = Optional.empty();
    formerLeaseUntil = Instant.MIN;
  }

  /** Returns the lease if this node holds it and it has not expired. */
  public Optional<Held> held(Instant now) {
    return held.filter(lease -> now.isBefore(lease.expiresAt()));
  }

  /** Returns whether this node holds the lease and should renew it now. */
  public boolean isRenewalDue(Instant now) {
    return held(now)
        .filter(lease -> !now.isBefore(lease.expiresAt().minus(DURATION).plus(RENEWAL_INTERVAL)))
        .isPresent();
  }

  /**
   * Returns whether this node may try to acquire the lease.
   *
   * @param isLastHolderActive whether the last holder is alive and can reach the log
   * @param now present time
   */
  public boolean mayAcquire(boolean isLastHolderActive, Instant now) {
    if (held(now).isPresent()) {
      return false;
    }
    if (isHolderUncertain && now.isBefore(formerLeaseUntil)) {
      return true;
    }
    if (isHolderUncertain) {
      return hasWaited(true, now);
    }
    if (lastHolder.isEmpty() || lastHolder.get().equals(holder)) {
      return true;
    }
    return hasWaited(isLastHolderActive, now);
  }

  /**
   * Returns whether the lease of the last holder has expired, and the handover delay has passed.
   */
  private boolean hasWaited(boolean isLastHolderActive, Instant now) {
    Duration wait = DURATION.plus(CLOCK_DRIFT_MARGIN);
    if (isLastHolderActive) {
      wait = wait.plus(handoverDelay);
    }
    return Duration.between(lastRecordAt, now).compareTo(wait) >= 0;
  }

  /**
   * The lease as held by this node.
   *
   * @param token fencing token of the orders given under the lease
   * @param expiresAt time at which the lease expires
   */
  public record Held(long token, Instant expiresAt) {}
}
