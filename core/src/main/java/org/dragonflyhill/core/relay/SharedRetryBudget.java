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

  private static final int BUCKETS = 10;

  private final Limits limits;
  private final Deque<Bucket> buckets = new ArrayDeque<>();

  /** Creates a budget that nothing was taken from. */
  public SharedRetryBudget(Limits limits) {
    this.limits = limits;
  }

  /** Notes a request for the service. */
  public void recordRequest(Instant now) {
    currentBucket(now).requests++;
  }

  /**
   * Takes one repeat; returns whether it may be sent.
   *
   * @param nodes number of nodes that share the slack
   * @param now present time
   */
  public boolean tryAcquire(int nodes, Instant now) {
    Bucket current = currentBucket(now);
    long requests = 0;
    long repeats = 0;
    for (Bucket slice : buckets) {
      requests += slice.requests;
      repeats += slice.retries;
    }
    double allowed =
        requests * limits.ratio() * limits.usedShare()
            + limits.slack() * limits.usedShare() / Math.max(1, nodes);
    if (repeats + 1 > allowed) {
      return false;
    }
    current.retries++;
    return true;
  }

  private Bucket currentBucket(Instant now) {
    Duration width = limits.window().dividedBy(BUCKETS);
    while (!buckets.isEmpty() && buckets.peekFirst().start.plus(limits.window()).isBefore(now)) {
      buckets.pollFirst();
    }
    Bucket last = buckets.peekLast();
    if (last == null || !now.isBefore(last.start.plus(width))) {
      last = new Bucket(now);
      buckets.addLast(last);
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

  private static final class Bucket {
    private final Instant start;
    private long requests;
    private long retries;

    Bucket(Instant begin) {
      this.start = begin;
    }
  }
}
