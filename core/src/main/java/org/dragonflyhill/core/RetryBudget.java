package org.dragonflyhill.core;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Keeps retries and hedges of a node to a share of its requests, so that they cannot multiply an
 * overload.
 *
 * <p>Over any span of {@code n} requests it grants at most {@code n / 10 + MAX_SAVED}.
 *
 * <pre>{@code
 * budget.requestBegan();
 * if (budget.tryTake()) {
 *   sendAgain(RetryBudget.backoff(attempt, random));
 * }
 * }</pre>
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class RetryBudget {

  /** Requests that earn one retry. */
  public static final int REQUESTS_PER_RETRY = 10;

  /** Retries that a quiet time may save up, enough for the streams of a lost runner. */
  public static final int MAX_SAVED = 64;

  /** Longest wait before the first retry; it doubles with each further one. */
  public static final Duration FIRST_BACKOFF = Duration.ofMillis(10);

  private static final int MAX_DOUBLINGS = 5;

  /** Saved tenths of retries. */
  private int saved = MAX_SAVED * REQUESTS_PER_RETRY;

  /** Earns the share of one request. */
  public synchronized void requestBegan() {
    saved = Math.min(saved + 1, MAX_SAVED * REQUESTS_PER_RETRY);
  }

  /** Takes one retry; returns whether it may be made. */
  public synchronized boolean tryTake() {
    if (saved < REQUESTS_PER_RETRY) {
      return false;
    }
    saved -= REQUESTS_PER_RETRY;
    return true;
  }

  /** Returns the retries that are left. */
  public synchronized int left() {
    return saved / REQUESTS_PER_RETRY;
  }

  /**
   * Returns the wait before a retry, spread at random so that retries do not come together.
   *
   * @param attempt number of failed attempts, at least 1
   * @param random source of the spread
   */
  public static Duration backoff(int attempt, RandomGenerator random) {
    int doublings = Math.min(attempt - 1, MAX_DOUBLINGS);
    long longest = FIRST_BACKOFF.toNanos() << doublings;
    return Duration.ofNanos(random.nextLong(longest / 2, longest + 1));
  }
}
