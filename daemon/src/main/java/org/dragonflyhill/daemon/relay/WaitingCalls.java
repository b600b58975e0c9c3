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
final class WaitingCalls {

  /** Calls without room after which the rest is left for the next time: they hardly fit either. */
  private static final int MAX_IN_VAIN = 4;

  private final List<Call> calls = new ArrayList<>();

  /** Adds a call. */
  void add(Call call) {
    calls.add(call);
    calls.sort(Comparator.comparingInt(Call::rank));
  }

  /** Returns the number of calls that wait. */
  int size() {
    return calls.size();
  }

  /** Tries the calls again, and sends those on that have waited long enough. */
  void retry(Instant now) {
    int inVain = 0;
    for (Call call : List.copyOf(calls)) {
      if (inVain >= MAX_IN_VAIN && !call.isWaitOver(now)) {
        continue;
      }
      if (call.retry(now)) {
        calls.remove(call);
      } else {
        inVain++;
      }
    }
  }

  /** A call that waits. */
  interface Call {
    /** Returns its rank, 0 for the most urgent. */
    int rank();

    /** Returns whether it must not wait any longer. */
    boolean isWaitOver(Instant now);

    /** Looks for a runner again; returns whether it waits no more. */
    boolean retry(Instant now);
  }
}
