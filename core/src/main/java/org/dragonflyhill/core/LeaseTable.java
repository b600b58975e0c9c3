package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides who holds a lease, from the lease records of the log in their order.
 *
 * <p>The offset of the record that granted a lease is its fencing token.
 *
 * <pre>{@code
 * table.apply(offset, new LeaseTable.LeaseRecord("runner-1", "node-a", 10_000, readAt));
 * Optional<LeaseTable.Lease> lease = table.lease("runner-1");
 * }</pre>
 *
 * <p>Not thread-safe; its owner guards it. No argument may be null.
 */
public final class LeaseTable {

  private final Map<String, Lease> leases = new HashMap<>();
  private long throughOffset = -1;

  /**
   * Folds one record. A record of another holder counts only when the lease before it has run out,
   * by the times at which this node read both.
   *
   * @param offset log offset of the record
   * @param record the record
   * @param readAt time at which this node read it
   */
  public void apply(long offset, LeaseRecord record, Instant readAt) {
    if (offset <= throughOffset) {
      return;
    }
    throughOffset = offset;
    Lease current = leases.get(record.resource());
    boolean sameHolder = current != null && current.holder().equals(record.holder());
    if (current != null && !sameHolder && readAt.isBefore(current.until())) {
      return;
    }
    long token = sameHolder ? current.fencingToken() : offset;
    Instant until = readAt.plus(Duration.ofMillis(record.durationMillis()));
    leases.put(record.resource(), new Lease(record.holder(), token, until));
  }

  /** Finds the last lease on a resource, whether or not it has run out. */
  public Optional<Lease> lease(String resource) {
    return Optional.ofNullable(leases.get(resource));
  }

  /**
   * A node's wish to hold a lease, as appended to the log.
   *
   * @param resource what the lease is on
   * @param holder name of the node
   * @param durationMillis length of the lease, in milliseconds
   */
  public record LeaseRecord(String resource, String holder, long durationMillis) {}

  /**
   * A granted lease.
   *
   * @param holder name of the node
   * @param fencingToken number that grows with each new holder
   * @param until end by this node's clock
   */
  public record Lease(String holder, long fencingToken, Instant until) {}
}
