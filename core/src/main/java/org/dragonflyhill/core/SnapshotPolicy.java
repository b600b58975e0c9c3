package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides when a node appends a snapshot of the configuration to the log.
 *
 * <p>A snapshot is due when many changes came after the last one, when the last one grows old, so
 * that it is renewed before it expires, or at once when it has expired. Nodes of a later rank wait
 * longer, so that usually one node writes and the others see its snapshot.
 *
 * <pre>{@code
 * boolean isDue = SnapshotPolicy.DEFAULT.isDue(progress, rank, now);
 * }</pre>
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param changeThreshold number of changes after which a snapshot is due
 * @param maxAge age of the last snapshot at which the next one is due
 * @param rankDelay further wait for each rank
 */
public record SnapshotPolicy(int changeThreshold, Duration maxAge, Duration rankDelay) {

  private static final int DEFAULT_CHANGES = 500;
  private static final Duration DEFAULT_MAX_AGE = Duration.ofMinutes(30);
  private static final Duration DEFAULT_RANK_DELAY = Duration.ofSeconds(10);
  private static final int RANK_THRESHOLD_DIVISOR = 10;

  /** The policy of a node without settings of its own. */
  public static final SnapshotPolicy DEFAULT =
      new SnapshotPolicy(DEFAULT_CHANGES, DEFAULT_MAX_AGE, DEFAULT_RANK_DELAY);

  /** Returns this policy with another age at which a snapshot is due. */
  public SnapshotPolicy withMaxAge(Duration age) {
    return new SnapshotPolicy(changeThreshold, age, rankDelay);
  }

  /**
   * Returns whether this node should append a snapshot now.
   *
   * @param progress what the node knows of the stream
   * @param rank place of this node among the live nodes, 0 for the first to write
   * @param now present time
   */
  public boolean isDue(Progress progress, int rank, Instant now) {
    Duration wait = rankDelay.multipliedBy(rank);
    boolean isExpired =
        progress.expiredSince().filter(since -> !since.plus(wait).isAfter(now)).isPresent();
    boolean isOld = !progress.snapshotSeenAt().plus(maxAge).plus(wait).isAfter(now);
    int threshold = changeThreshold + rank * Math.max(1, changeThreshold / RANK_THRESHOLD_DIVISOR);
    return isExpired || isOld || progress.changesSinceSnapshot() >= threshold;
  }

  /**
   * What a node knows of the snapshots in the stream.
   *
   * @param changesSinceSnapshot changes after the last snapshot
   * @param snapshotSeenAt when this node saw the last snapshot, or when it started
   * @param expiredSince when this node saw that records which a new reader needs have expired
   */
  public record Progress(
      int changesSinceSnapshot, Instant snapshotSeenAt, Optional<Instant> expiredSince) {}
}
