package org.dragonflyhill.core.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The latest changes that this node has read from runners and stores, numbered from 0, for its
 * peers.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class PartChangeLog {

  /** Number of changes that are kept for peers that missed some. */
  public static final int CAPACITY = 4_096;

  private final PartChange[] changes = new PartChange[CAPACITY];
  private long nextSequence;

  /** Appends a change. */
  public void append(PartChange change) {
    changes[(int) (nextSequence % CAPACITY)] = change;
    nextSequence++;
  }

  /** Returns the number that the next change will have. */
  public long nextSequence() {
    return nextSequence;
  }

  /** Returns the changes from a number on, or empty if some of them are not kept any more. */
  public Optional<List<PartChange>> since(long sequence) {
    if (sequence < 0 || sequence > nextSequence || nextSequence - sequence > CAPACITY) {
      return Optional.empty();
    }
    List<PartChange> later = new ArrayList<>();
    for (long i = sequence; i < nextSequence; i++) {
      later.add(changes[(int) (i % CAPACITY)]);
    }
    return Optional.of(later);
  }
}
