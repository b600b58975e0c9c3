package org.dragonflyhill.daemon.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Queue of requests that wait at this node until a runner has room for them, ordered by rank and,
 * within a rank, by arrival.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class RequestQueue {

  /**
   * Number of entries without room after which a pass over the queue skips the others, which are
   * unlikely to fit either. Entries whose wait is over are never skipped.
   */
  private static final int MAX_FAILED_RETRIES = 4;

  private final List<Entry> entries = new ArrayList<>();

  /** Adds an entry behind the others of its rank. */
  void add(Entry entry) {
    entries.add(entry);
    entries.sort(Comparator.comparingInt(Entry::rank));
  }

  /** Returns the number of waiting requests. */
  int size() {
    return entries.size();
  }

  /** Tries to dispatch the waiting requests, and removes those that no longer wait. */
  void retry(Instant now) {
    int failedRetries = 0;
    for (Entry entry : List.copyOf(entries)) {
      if (failedRetries >= MAX_FAILED_RETRIES && !entry.isWaitOver(now)) {
        continue;
      }
      if (entry.tryDispatch(now)) {
        entries.remove(entry);
      } else {
        failedRetries++;
      }
    }
  }

  /** A waiting request. */
  interface Entry {
    /** Returns the rank of the request, 0 for the most urgent. */
    int rank();

    /** Returns whether the request has waited for as long as it may. */
    boolean isWaitOver(Instant now);

    /** Tries to dispatch the request; returns true if it no longer waits. */
    boolean tryDispatch(Instant now);
  }
}
