package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * This node's position in the part changes of one peer. Changes are applied in order: those that
 * arrive early wait for the ones before, and what was lost on the way is requested again.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class PartFeed {

  /** Requested sequence number that stands for a complete snapshot. */
  public static final long SNAPSHOT = -1;

  /** Minimum time between two requests for missing changes. */
  public static final Duration REQUEST_INTERVAL = Duration.ofMillis(400);

  /** Time for which a gap may stay before it is taken for a loss and not for a change of order. */
  public static final Duration REORDERING_TIME = Duration.ofMillis(40);

  /** Maximum number of messages that wait for the ones before them. */
  private static final int MAX_EARLY_MESSAGES = 64;

  private static final long NO_INCARNATION = -1;

  private long incarnation = NO_INCARNATION;
  private long next = SNAPSHOT;
  private long snapshotSequence = SNAPSHOT;
  private int nextSnapshotIndex;
  private Instant requestedAt = Instant.EPOCH;
  private final TreeMap<Long, Changes> early = new TreeMap<>();
  private long gapAt = SNAPSHOT;
  private Instant gapSince = Instant.EPOCH;

  /** Returns the changes of a message that are to be applied now, in order. */
  public List<PartChange> accept(Changes message) {
    observe(message.incarnation());
    if (next == SNAPSHOT && message.first() == 0) {
      next = 0;
    }
    if (next == SNAPSHOT || message.first() > next) {
      if (early.size() < MAX_EARLY_MESSAGES) {
        early.put(message.first(), message);
      }
      return List.of();
    }
    List<PartChange> applicable = new ArrayList<>(advance(message));
    applicable.addAll(advanceThroughEarly());
    return applicable;
  }

  /**
   * Returns the changes of a piece of a snapshot that are to be applied now. Pieces after a missing
   * one are ignored, and the snapshot is requested again.
   */
  public List<PartChange> accept(Snapshot message) {
    observe(message.incarnation());
    if (next >= message.sequence()) {
      return List.of();
    }
    if (message.index() == 0) {
      snapshotSequence = message.sequence();
      nextSnapshotIndex = 0;
    }
    if (message.sequence() != snapshotSequence || message.index() != nextSnapshotIndex) {
      return List.of();
    }
    nextSnapshotIndex++;
    if (nextSnapshotIndex < message.count()) {
      return message.changes();
    }
    next = snapshotSequence;
    List<PartChange> applicable = new ArrayList<>(message.changes());
    applicable.addAll(advanceThroughEarly());
    return applicable;
  }

  /**
   * Returns the sequence number from which changes are to be requested from the peer, {@link
   * #SNAPSHOT} for all that it knows, or empty if none are missing or a request is under way.
   *
   * @param peerIncarnation number of the peer's process start
   * @param peerNext number of the peer's next change
   * @param now present time
   */
  public OptionalLong missingFrom(long peerIncarnation, long peerNext, Instant now) {
    observe(peerIncarnation);
    if (next == SNAPSHOT && peerNext == 0) {
      next = 0;
    }
    if (next >= peerNext) {
      gapAt = SNAPSHOT;
      return OptionalLong.empty();
    }
    if (next != gapAt) {
      gapAt = next;
      gapSince = now;
    }
    boolean mayBeReordered = next != SNAPSHOT && now.isBefore(gapSince.plus(REORDERING_TIME));
    boolean isRequested = now.isBefore(requestedAt.plus(REQUEST_INTERVAL));
    if (mayBeReordered || isRequested) {
      return OptionalLong.empty();
    }
    requestedAt = now;
    return OptionalLong.of(next);
  }

  private List<PartChange> advanceThroughEarly() {
    List<PartChange> applicable = new ArrayList<>();
    while (!early.isEmpty() && early.firstKey() <= next) {
      applicable.addAll(advance(early.pollFirstEntry().getValue()));
    }
    return applicable;
  }

  private List<PartChange> advance(Changes message) {
    long known = next - message.first();
    if (known >= message.changes().size()) {
      return List.of();
    }
    next = message.first() + message.changes().size();
    return message.changes().subList((int) known, message.changes().size());
  }

  private void observe(long newIncarnation) {
    if (newIncarnation != incarnation) {
      incarnation = newIncarnation;
      next = SNAPSHOT;
      snapshotSequence = SNAPSHOT;
      requestedAt = Instant.EPOCH;
      early.clear();
      gapAt = SNAPSHOT;
    }
  }

  /**
   * Consecutive changes.
   *
   * @param incarnation number of the sender's process start
   * @param first sequence number of the first change
   * @param changes the changes
   */
  public record Changes(long incarnation, long first, List<PartChange> changes) {

    /** Creates a message with a copy of the changes. */
    public Changes {
      changes = List.copyOf(changes);
    }
  }

  /**
   * A piece of a snapshot of all parts that the sender reads.
   *
   * @param incarnation number of the sender's process start
   * @param sequence number of the first change that is not in the snapshot
   * @param index number of this piece, from 0
   * @param count number of pieces
   * @param changes changes that lead to the state of the snapshot
   */
  public record Snapshot(
      long incarnation, long sequence, int index, int count, List<PartChange> changes) {

    /** Creates a message with a copy of the changes. */
    public Snapshot {
      changes = List.copyOf(changes);
    }
  }
}
