package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries that this node sends to one service to its share of a budget that all nodes
 * have in common. In each sliding window, the budget allows a ratio of the requests plus a fixed
 * slack.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class SharedRetryBudget {

  private static final int BUCKETS = 10;

  private final Limits limits;

  /** Calculated once, since Duration.dividedBy is too slow for each request. */
  private final Duration bucketWidth;

  private final Deque<Bucket> buckets = new ArrayDeque<>();

  /** Creates an unused budget. */
  public SharedRetryBudget(Limits limits) {
    this.limits = limits;
    bucketWidth = limits.window().dividedBy(BUCKETS);
  }

  /** Records a request to the service. */
  public void recordRequest(Instant now) {
    currentBucket(now).requests++;
  }

  /** Returns the requests per second to the service over the window. */
  public double requestsPerSecond(Instant now) {
    currentBucket(now);
    long requests = buckets.stream().mapToLong(bucket -> bucket.requests).sum();
    return requests * 1_000.0 / limits.window().toMillis();
  }

  /**
   * Tries to acquire one retry from the budget; returns whether the retry may be sent.
   *
   * @param nodes number of nodes among which the slack is divided
   * @param now present time
   */
  public boolean tryAcquire(int nodes, Instant now) {
    Bucket current = currentBucket(now);
    long requests = 0;
    long retries = 0;
    for (Bucket bucket : buckets) {
      requests += bucket.requests;
      retries += bucket.retries;
    }
    double allowed =
        requests * limits.ratio() * limits.usableShare()
            + limits.slack() * limits.usableShare() / Math.max(1, nodes);
    if (retries + 1 > allowed) {
      return false;
    }
    current.retries++;
    return true;
  }

  private Bucket currentBucket(Instant now) {
    while (!buckets.isEmpty() && buckets.peekFirst().start.plus(limits.window()).isBefore(now)) {
      buckets.pollFirst();
    }
    Bucket last = buckets.peekLast();
    if (last == null || !now.isBefore(last.start.plus(bucketWidth))) {
      last = new Bucket(now);
      buckets.addLast(last);
    }
    return last;
  }

  /**
   * Limits of the budget.
   *
   * @param window length of the sliding window
   * @param ratio retries allowed per request in the window
   * @param slack further retries allowed per window, for all nodes in total
   * @param usableShare fraction of the budget that is used, at most 1; the rest is a margin, since
   *     the windows and the number of nodes that each node sees differ
   */
  public record Limits(Duration window, double ratio, double slack, double usableShare) {}

  private static final class Bucket {
    private final Instant start;
    private long requests;
    private long retries;

    Bucket(Instant start) {
      this.start = start;
    }
  }
}
