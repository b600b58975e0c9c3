package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Gets and keeps one lease for one process: says when to append which record, and whether the lease
 * is held at this moment.
 *
 * <p>The holder counts its lease from before it sent the record, and others count it from when they
 * read it, so that a holder stops before anyone else may begin, as long as clocks run at one speed
 * up to the margin. All times are of a monotonic clock.
 *
 * <pre>{@code
 * keeper.next(now, rank).ifPresent(record -> append(record));
 * boolean mayOrder = keeper.held(now).isPresent();
 * }</pre>
 *
 * <p>Not thread-safe; its owner guards it. No argument may be null.
 */
public final class LeaseKeeper {

  /** Time added to the end of another's lease, for clocks that run at different speeds. */
  public static final Duration CLOCK_MARGIN = Duration.ofMillis(500);

  /** Further wait of each rank behind the first before it takes over. */
  public static final Duration RANK_DELAY = Duration.ofSeconds(2);

  /** A lease is renewed when this part of it has passed. */
  private static final int RENEWALS_PER_LEASE = 3;

  private final String resource;
  private final String holder;
  private final Duration duration;
  private final LeaseTable table = new LeaseTable();
  private Instant observedAt;
  private long attempts;
  private Optional<SentRecord> pending = Optional.empty();
  private Optional<SentRecord> granted = Optional.empty();

  /**
   * Creates a keeper.
   *
   * @param resource what the lease is on
   * @param holder unique name of this process, not used by an earlier one
   * @param duration length of the lease
   * @param now present time
   */
  public LeaseKeeper(String resource, String holder, Duration duration, Instant now) {
    this.resource = resource;
    this.holder = holder;
    this.duration = duration;
    observedAt = now;
  }

  /** Folds a record that this process read from the log. */
  public void onRecord(long offset, LeaseTable.LeaseRecord record, Instant now) {
    if (!record.resource().equals(resource) || !table.apply(offset, record)) {
      return;
    }
    observedAt = now;
    granted = Optional.empty();
    if (record.holder().equals(holder)) {
      granted = pending.filter(sent -> sent.record().equals(record));
    }
    pending = Optional.empty();
  }

  /**
   * Returns the record to append now, if any.
   *
   * @param now present time
   * @param rank place of this process among those that could hold the lease, 0 for the first
   */
  public Optional<LeaseTable.LeaseRecord> nextRecord(Instant now, int rank) {
    if (pending.filter(sent -> now.isBefore(sent.sentAt().plus(duration))).isPresent()) {
      return Optional.empty();
    }
    if (!isDue(now, rank)) {
      return Optional.empty();
    }
    long base =
        table.lease(resource).map(LeaseTable.Lease::lastOffset).orElse(LeaseTable.NO_BASE_OFFSET);
    // The number tells a record from an equal one that was sent before and came late.
    attempts++;
    var record = new LeaseTable.LeaseRecord(resource, holder, base, duration.toMillis(), attempts);
    pending = Optional.of(new SentRecord(record, now));
    return Optional.of(record);
  }

  /** Notes that the record returned last was certainly not appended. */
  public void discardPending() {
    pending = Optional.empty();
  }

  /** Returns the lease if this process holds it at this moment. */
  public Optional<HeldLease> heldLease(Instant now) {
    return granted
        .map(sent -> sent.sentAt().plus(duration))
        .filter(expiresAt -> now.isBefore(expiresAt))
        .flatMap(
            expiresAt ->
                table.lease(resource).map(lease -> new HeldLease(lease.fencingToken(), expiresAt)));
  }

  private boolean isDue(Instant now, int rank) {
    if (granted.isPresent() && heldLease(now).isPresent()) {
      Duration age = Duration.between(granted.get().sentAt(), now);
      return age.compareTo(duration.dividedBy(RENEWALS_PER_LEASE)) >= 0;
    }
    Duration wait = RANK_DELAY.multipliedBy(rank);
    Optional<LeaseTable.Lease> current = table.lease(resource);
    if (current.isPresent()) {
      wait = wait.plusMillis(current.get().durationMillis()).plus(CLOCK_MARGIN);
    }
    return !now.isBefore(observedAt.plus(wait));
  }

  private record SentRecord(LeaseTable.LeaseRecord record, Instant sentAt) {}

  /**
   * A lease that this process holds.
   *
   * @param fencingToken number to send with each order
   * @param expiresAt when it ends, by the clock that the caller uses
   */
  public record HeldLease(long fencingToken, Instant expiresAt) {}
}
