package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Determines when a node appends a snapshot of the configuration to the log.
 *
 * <p>A snapshot is due when there are many changes since the last one, when the last one reaches
 * its maximum age (so that a new one is written before it expires from the log), or at once when
 * records that a new reader needs have expired. Nodes of a later rank wait longer, so that usually
 * only one node writes a snapshot and the others read it.
 *
 * <pre>{@code
 * boolean isDue = SnapshotPolicy.DEFAULT.isDue(progress, rank, now);
 * }</pre>
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param changeThreshold number of changes since the last snapshot at which the next one is due
 * @param maxAge age of the last snapshot at which the next one is due
 * @param rankDelay extra wait for each rank after the first
 */
public record SnapshotPolicy(int changeThreshold, Duration maxAge, Duration rankDelay) {

  private static final int DEFAULT_CHANGES = 500;
  private static final Duration DEFAULT_MAX_AGE = Duration.ofMinutes(30);
  private static final Duration DEFAULT_RANK_DELAY = Duration.ofSeconds(10);

  /** Each rank after the first waits for further changes: the threshold divided by this number. */
  private static final int RANK_THRESHOLD_DIVISOR = 10;

  /** The default policy. */
  public static final SnapshotPolicy DEFAULT =
      new SnapshotPolicy(DEFAULT_CHANGES, DEFAULT_MAX_AGE, DEFAULT_RANK_DELAY);

  /** Returns a copy of this policy with the given maximum age. */
  public SnapshotPolicy withMaxAge(Duration age) {
    return new SnapshotPolicy(changeThreshold, age, rankDelay);
  }

  /**
   * Returns whether this node should append a snapshot now.
   *
   * @param progress what this node has read from the log
   * @param rank rank of this node among the live nodes, 0 for the first to write
   * @param now current time
   */
  public boolean isDue(Progress progress, int rank, Instant now) {
    Duration rankWait = rankDelay.multipliedBy(rank);
    boolean isExpired =
        progress.expiredSince().filter(since -> !since.plus(rankWait).isAfter(now)).isPresent();
    boolean isOld = !progress.snapshotSeenAt().plus(maxAge).plus(rankWait).isAfter(now);
    int threshold = changeThreshold + rank * Math.max(1, changeThreshold / RANK_THRESHOLD_DIVISOR);
    return isExpired || isOld || progress.changesSinceSnapshot() >= threshold;
  }

  /**
   * What a node has read from the log about snapshots.
   *
   * @param changesSinceSnapshot number of changes since the last snapshot
   * @param snapshotSeenAt when this node read the last snapshot, or when it started if it has read
   *     none
   * @param expiredSince when this node found that records that a new reader needs have expired from
   *     the log; empty if none have
   */
  public record Progress(
      int changesSinceSnapshot, Instant snapshotSeenAt, Optional<Instant> expiredSince) {}
}
