package org.dragonflyhill.daemon.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Calls that wait at this node until a runner has room for them: the most urgent first, among
 * equals the one that came first.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class RequestQueue {

  /** Calls without room after which the rest is left for the next time: they hardly fit either. */
  private static final int MAX_FAILED_RETRIES = 4;

  private final List<Entry> entries = new ArrayList<>();

  /** Adds a call. */
  void add(Entry entry) {
    entries.add(entry);
    entries.sort(Comparator.comparingInt(Entry::rank));
  }

  /** Returns the number of calls that wait. */
  int size() {
    return entries.size();
  }

  /** Tries the calls again, and sends those on that have waited long enough. */
  void retry(Instant now) {
    int failedRetries = 0;
    for (Entry entry : List.copyOf(entries)) {
      if (failedRetries >= MAX_FAILED_RETRIES && !entry.isWaitOver(now)) {
        continue;
      }
      if (entry.retry(now)) {
        entries.remove(entry);
      } else {
        failedRetries++;
      }
    }
  }

  /** A call that waits. */
  interface Entry {
    /** Returns its rank, 0 for the most urgent. */
    int rank();

    /** Returns whether it must not wait any longer. */
    boolean isWaitOver(Instant now);

    /** Looks for a runner again; returns whether it waits no more. */
    boolean retry(Instant now);
  }
}
