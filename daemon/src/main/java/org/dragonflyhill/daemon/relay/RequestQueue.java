package org.dragonflyhill.daemon.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Queue of requests that wait at this node until a runner has room for them, ordered by rank.
 * Within a rank, organisations take turns; the requests of one stay in the order of arrival.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class RequestQueue {

  /**
   * Number of entries of a service without room after which a pass over the queue skips the others
   * of that service, which are unlikely to fit either. Entries whose wait is over are never
   * skipped.
   */
  private static final int MAX_FAILED_RETRIES = 4;

  private static final Comparator<Waiting> BY_RANK_AND_TURN =
      Comparator.<Waiting>comparingInt(waiting -> waiting.entry().rank())
          .thenComparingInt(Waiting::turn);

  private final List<Waiting> queue = new ArrayList<>();

  /** Adds an entry behind the others of its rank and turn, unless it waits already. */
  void add(Entry entry) {
    if (queue.stream().anyMatch(waiting -> waiting.entry() == entry)) {
      return;
    }
    int turn =
        (int)
            queue.stream()
                .map(Waiting::entry)
                .filter(other -> other.rank() == entry.rank())
                .filter(other -> other.service().equals(entry.service()))
                .filter(other -> other.organisation().equals(entry.organisation()))
                .count();
    queue.add(new Waiting(entry, turn));
    queue.sort(BY_RANK_AND_TURN);
  }

  /** Returns the number of requests to a service that wait with the same or a more urgent rank. */
  int waitingAhead(String service, int rank) {
    return (int)
        queue.stream()
            .map(Waiting::entry)
            .filter(entry -> entry.rank() <= rank && entry.service().equals(service))
            .count();
  }

  /** Returns the number of waiting requests. */
  int size() {
    return queue.size();
  }

  /** Tries to dispatch the waiting requests, and removes those that no longer wait. */
  void retry(Instant now) {
    Map<String, Integer> failedRetries = new HashMap<>();
    for (Waiting waiting : List.copyOf(queue)) {
      Entry entry = waiting.entry();
      if (failedRetries.getOrDefault(entry.service(), 0) >= MAX_FAILED_RETRIES
          && !entry.isWaitOver(now)) {
        continue;
      }
      if (entry.tryDispatch(now)) {
        queue.remove(waiting);
      } else {
        failedRetries.merge(entry.service(), 1, Integer::sum);
      }
    }
  }

  /** A waiting request. */
  interface Entry {
    /** Returns the rank of the request, 0 for the most urgent. */
    int rank();

    /** Returns the service that the request is for. */
    String service();

    /** Returns the name of the organisation of the caller, empty if unknown. */
    Optional<String> organisation();

    /** Returns whether the request has waited for as long as it may. */
    boolean isWaitOver(Instant now);

    /** Tries to dispatch the request; returns true if it no longer waits. */
    boolean tryDispatch(Instant now);
  }

  /**
   * An entry and its turn.
   *
   * @param entry the entry
   * @param turn number of requests of the same rank, service and organisation that waited when it
   *     was added
   */
  private record Waiting(Entry entry, int turn) {}
}
