package org.dragonflyhill.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Determines the holder of each lease from the lease records of the log.
 *
 * <p>Each record carries the offset of the last accepted record that its writer had read, and is
 * accepted only if that is still the last one (compare-and-set). So all readers of the same records
 * agree on the holder, whatever their clocks say. The table does not check whether a lease has
 * expired: {@link LeaseKeeper} does so before it requests a lease.
 *
 * <pre>{@code
 * table.apply(42, new LeaseTable.LeaseRecord("orders/sk-central", "node-a", 41, 6_000, 1));
 * Optional<LeaseTable.Lease> lease = table.lease("orders/sk-central");
 * }</pre>
 *
 * <p>Not thread-safe; callers must synchronize access. No argument may be null.
 */
public final class LeaseTable {

  /** Base offset of a record whose writer had read no lease on the resource. */
  public static final long NO_BASE_OFFSET = -1;

  private final Map<String, Lease> leases = new HashMap<>();
  private long throughOffset = -1;

  /**
   * Applies a record and returns whether it was accepted. Has no effect if the offset was already
   * processed.
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

  /** Returns the lease on a resource, even if it has expired. */
  public Optional<Lease> lease(String resource) {
    return Optional.ofNullable(leases.get(resource));
  }

  /**
   * A request to acquire or renew a lease, as appended to the log.
   *
   * @param resource name of the leased resource
   * @param holder unique name of the requesting process
   * @param baseOffset offset of the last accepted record that the writer had read
   * @param durationMillis duration of the lease, in milliseconds
   * @param attempt sequence number among the records of this holder
   */
  public record LeaseRecord(
      String resource, String holder, long baseOffset, long durationMillis, long attempt) {}

  /**
   * A granted lease.
   *
   * @param holder unique name of the process that holds the lease
   * @param fencingToken token that increases with each new holder and stays the same on renewal
   * @param lastOffset offset of the last accepted record
   * @param durationMillis duration of the lease, in milliseconds
   */
  public record Lease(String holder, long fencingToken, long lastOffset, long durationMillis) {}
}
