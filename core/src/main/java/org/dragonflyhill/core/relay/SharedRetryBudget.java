package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Keeps the repeats that this node sends to one service to its share of a budget that all nodes
 * have together: in each window, a ratio of the requests and a fixed slack.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class SharedRetryBudget {

  private static final int SLICES = 10;

  private final Limits limits;
  private final Deque<Slice> slices = new ArrayDeque<>();

  /** Creates a budget that nothing was taken from. */
  public SharedRetryBudget(Limits limits) {
    this.limits = limits;
  }

  /** Notes a request for the service. */
  public void requested(Instant now) {
    slice(now).requests++;
  }

  /**
   * Takes one repeat; returns whether it may be sent.
   *
   * @param nodes number of nodes that share the slack
   * @param now present time
   */
  public boolean tryTake(int nodes, Instant now) {
    Slice current = slice(now);
    long requests = 0;
    long repeats = 0;
    for (Slice slice : slices) {
      requests += slice.requests;
      repeats += slice.repeats;
    }
    double allowed =
        requests * limits.ratio() * limits.usedShare()
            + limits.slack() * limits.usedShare() / Math.max(1, nodes);
    if (repeats + 1 > allowed) {
      return false;
    }
    current.repeats++;
    return true;
  }

  private Slice slice(Instant now) {
    Duration width = limits.window().dividedBy(SLICES);
    while (!slices.isEmpty() && slices.peekFirst().begin.plus(limits.window()).isBefore(now)) {
      slices.pollFirst();
    }
    Slice last = slices.peekLast();
    if (last == null || !now.isBefore(last.begin.plus(width))) {
      last = new Slice(now);
      slices.addLast(last);
    }
    return last;
  }

  /**
   * Size of the budget.
   *
   * @param window length of the sliding window
   * @param ratio repeats for each request in the window
   * @param slack further repeats in each window
   * @param usedShare part of the whole that is used, at most 1, for views that differ
   */
  public record Limits(Duration window, double ratio, double slack, double usedShare) {}

  private static final class Slice {
    private final Instant begin;
    private long requests;
    private long repeats;

    Slice(Instant begin) {
      this.begin = begin;
    }
  }
}
