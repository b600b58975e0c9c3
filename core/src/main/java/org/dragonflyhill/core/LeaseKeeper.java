package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Acquires and renews one lease for one process. It returns the records to append to the log and
 * whether the process holds the lease.
 *
 * <p>The holder counts the duration of its lease from before it sends the record; other processes
 * count it from when they read the record. So the lease ends for the holder before another process
 * may take it over, provided that their clocks drift apart by less than {@link #CLOCK_MARGIN} in
 * that time. All times must come from a monotonic clock.
 *
 * <pre>{@code
 * keeper.nextRecord(now, rank).ifPresent(record -> append(record));
 * boolean isHolder = keeper.heldLease(now).isPresent();
 * }</pre>
 *
 * <p>Not thread-safe; callers must synchronize access. No argument may be null.
 */
public final class LeaseKeeper {

  /** Extra wait before taking over a lease, to allow for clocks that run at different speeds. */
  public static final Duration CLOCK_MARGIN = Duration.ofMillis(500);

  /** Extra wait before taking over a lease, for each rank after the first. */
  public static final Duration RANK_DELAY = Duration.ofSeconds(2);

  /** A lease is renewed once its duration divided by this number has passed. */
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
   * @param resource name of the leased resource
   * @param holder unique name of this process; must differ from the names of earlier processes
   * @param duration duration of the lease
   * @param now current time
   */
  public LeaseKeeper(String resource, String holder, Duration duration, Instant now) {
    this.resource = resource;
    this.holder = holder;
    this.duration = duration;
    observedAt = now;
  }

  /** Applies a record that this process has read from the log. */
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
   * Returns the record to append now, if any. It stays pending, and no other is returned, until a
   * record of the resource is accepted, the append fails or the lease would have expired.
   *
   * @param now current time
   * @param rank rank of this process among the candidates for the lease, 0 for the first
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
    // Without the attempt number, a delayed earlier record could be mistaken for this one, and its
    // lease counted from the later send time.
    attempts++;
    var record = new LeaseTable.LeaseRecord(resource, holder, base, duration.toMillis(), attempts);
    pending = Optional.of(new SentRecord(record, now));
    return Optional.of(record);
  }

  /** Discards the pending record. Call this only if the record was certainly not appended. */
  public void discardPending() {
    pending = Optional.empty();
  }

  /** Returns the lease if this process holds it now. */
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
   * @param fencingToken fencing token to send with each order
   * @param expiresAt time when the lease expires, on the clock that the caller passes in
   */
  public record HeldLease(long fencingToken, Instant expiresAt) {}
}
