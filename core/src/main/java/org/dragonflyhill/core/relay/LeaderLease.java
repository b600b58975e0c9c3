package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides when this node may take, keep and use the lease on a duty. The lease is the newest record
 * of a log; a record counts only if nothing was appended since its writer looked, so that the log's
 * order alone settles who holds it.
 *
 * <p>A holder that is alive is left alone for longer than its lease lasts, since orders of two
 * nodes that follow each other closely are as bad as orders at once.
 *
 * <p>All times are of a steady clock. Not thread-safe; no argument may be null.
 */
public final class LeaderLease {

  /** How long the holder may act after it sent a record. */
  public static final Duration DURATION = Duration.ofMillis(1_500);

  /** Age at which the holder writes its record anew. */
  public static final Duration RENEWAL_INTERVAL = Duration.ofMillis(500);

  /** Time added for clocks that run at different speeds. */
  public static final Duration CLOCK_DRIFT_MARGIN = Duration.ofMillis(300);

  private final String holder;
  private final Duration handoverDelay;
  private long nextOffset;
  private Optional<String> lastHolder = Optional.empty();
  private Instant lastRecordAt = Instant.MIN;
  private Optional<Held> held = Optional.empty();

  /**
   * Creates a lease that nobody is known to hold.
   *
   * @param holder unique name of this start of this node
   * @param turnGap time that must pass between orders of two living holders
   */
  public LeaderLease(String holder, Duration turnGap) {
    this.holder = holder;
    this.handoverDelay = turnGap;
  }

  /** Notes the end of the log and its newest record, as just read. */
  public void observeLog(long newEnd, Optional<String> newestHolder, Instant now) {
    if (newEnd != nextOffset || lastRecordAt.equals(Instant.MIN)) {
      nextOffset = newEnd;
      lastHolder = newestHolder;
      lastRecordAt = now;
    }
    if (held.isPresent() && !newestHolder.equals(Optional.of(holder))) {
      held = Optional.empty();
    }
  }

  /** Returns the offset at which the next record is to be appended. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns the holder of the newest record. */
  public Optional<String> lastHolder() {
    return lastHolder;
  }

  /** Notes that this node's record was appended at an offset. */
  public void confirmAppend(long offset, Instant sentAt, Instant now) {
    final long token = held.map(Held::token).orElse(offset);
    nextOffset = offset + 1;
    lastHolder = Optional.of(holder);
    lastRecordAt = now;
    held = Optional.of(new Held(token, sentAt.plus(DURATION)));
  }

  /** Gives the lease up, for example after the clock showed that the process was frozen. */
  public void drop() {
    held = Optional.empty();
  }

  /** Returns the lease if this node may act under it at this moment. */
  public Optional<Held> held(Instant now) {
    return held.filter(lease -> now.isBefore(lease.until()));
  }

  /** Returns whether the holder should write its record anew. */
  public boolean isRenewalDue(Instant now) {
    return held(now)
        .filter(lease -> !now.isBefore(lease.until().minus(DURATION).plus(RENEWAL_INTERVAL)))
        .isPresent();
  }

  /**
   * Returns whether this node may try to take the lease.
   *
   * @param isLastHolderActive whether the last holder is alive and in touch
   * @param now present time
   */
  public boolean mayAcquire(boolean isLastHolderActive, Instant now) {
    if (held(now).isPresent()) {
      return false;
    }
    if (lastHolder.isEmpty() || lastHolder.get().equals(holder)) {
      return true;
    }
    Duration wait = DURATION.plus(CLOCK_DRIFT_MARGIN);
    if (isLastHolderActive) {
      wait = wait.plus(handoverDelay);
    }
    return Duration.between(lastRecordAt, now).compareTo(wait) >= 0;
  }

  /**
   * A lease that is held.
   *
   * @param token fencing token of its orders
   * @param until when it ends
   */
  public record Held(long token, Instant until) {}
}
