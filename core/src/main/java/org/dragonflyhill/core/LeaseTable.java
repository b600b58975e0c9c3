package org.dragonflyhill.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides who holds a lease, from the lease records of the log and their order alone.
 *
 * <p>A record names the record that its writer saw last. It counts only if no other came between,
 * so that every reader of the same records agrees on the holder, whatever its clock says. Whether a
 * lease has run out is for {@link LeaseKeeper} to judge before it writes a record.
 *
 * <pre>{@code
 * table.apply(42, new LeaseTable.LeaseRecord("orders/sk-central", "node-a", 41, 6_000, 1));
 * Optional<LeaseTable.Lease> lease = table.lease("orders/sk-central");
 * }</pre>
 *
 * <p>Not thread-safe; its owner guards it. No argument may be null.
 */
public final class LeaseTable {

  /** Base of a record whose writer saw no lease. */
  public static final long NO_BASE_OFFSET = -1;

  private final Map<String, Lease> leases = new HashMap<>();
  private long throughOffset = -1;

  /**
   * Folds one record and returns whether it counted. An offset that was folded before changes
   * nothing.
   */
  public boolean apply(long offset, LeaseRecord record) {
    if (offset <= throughOffset) {
      return false;
    }
    throughOffset = offset;
    Optional<Lease> current = lease(record.resource());
    if (current.map(Lease::lastOffset).orElse(NO_BASE_OFFSET) != record.baseOffset()) {
      return false;
    }
    long token =
        current
            .filter(lease -> lease.holder().equals(record.holder()))
            .map(Lease::fencingToken)
            .orElse(offset);
    leases.put(
        record.resource(), new Lease(record.holder(), token, offset, record.durationMillis()));
    return true;
  }

  /** Finds the lease on a resource, whether or not it has run out. */
  public Optional<Lease> lease(String resource) {
    return Optional.ofNullable(leases.get(resource));
  }

  /**
   * A wish to hold a lease, as appended to the log.
   *
   * @param resource what the lease is on
   * @param holder unique name of the process that wants it
   * @param baseOffset offset of the last record that counted, as the writer saw it
   * @param durationMillis length of the lease, in milliseconds
   * @param attempt number of this record among those of the holder
   */
  public record LeaseRecord(
      String resource, String holder, long baseOffset, long durationMillis, long attempt) {}

  /**
   * A granted lease.
   *
   * @param holder unique name of the process
   * @param fencingToken number that grows with each new holder
   * @param lastOffset offset of the last record that counted
   * @param durationMillis length of the lease, in milliseconds
   */
  public record Lease(String holder, long fencingToken, long lastOffset, long durationMillis) {}
}
