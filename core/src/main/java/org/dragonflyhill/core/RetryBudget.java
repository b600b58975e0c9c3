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
  public static final int MAX_BURST = 64;

  /** Longest wait before the first retry; it doubles with each further one. */
  public static final Duration INITIAL_BACKOFF = Duration.ofMillis(10);

  private static final int MAX_DOUBLINGS = 5;

  /** Saved tenths of retries. */
  private int credits = MAX_BURST * REQUESTS_PER_RETRY;

  /** Earns the share of one request. */
  public synchronized void recordRequest() {
    credits = Math.min(credits + 1, MAX_BURST * REQUESTS_PER_RETRY);
  }

  /** Takes one retry; returns whether it may be made. */
  public synchronized boolean tryTake() {
    if (credits < REQUESTS_PER_RETRY) {
      return false;
    }
    credits -= REQUESTS_PER_RETRY;
    return true;
  }

  /** Returns the retries that are left. */
  public synchronized int available() {
    return credits / REQUESTS_PER_RETRY;
  }

  /**
   * Returns the wait before a retry, spread at random so that retries do not come together.
   *
   * @param attempt number of failed attempts, at least 1
   * @param random source of the spread
   */
  public static Duration backoff(int attempt, RandomGenerator random) {
    int doublings = Math.min(attempt - 1, MAX_DOUBLINGS);
    long maxNanos = INITIAL_BACKOFF.toNanos() << doublings;
    return Duration.ofNanos(random.nextLong(maxNanos / 2, maxNanos + 1));
  }
}
