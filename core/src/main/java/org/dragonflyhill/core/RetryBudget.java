package org.dragonflyhill.core;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Limits the retries and hedge requests of a node to a share of its requests, so that they cannot
 * amplify an overload.
 *
 * <p>For any {@code n} consecutive requests the budget grants at most {@code n / 10 + MAX_BURST}
 * retries.
 *
 * <pre>{@code
 * budget.recordRequest();
 * if (budget.tryTake()) {
 *   sendAgain(RetryBudget.backoff(attempt, random));
 * }
 * }</pre>
 *
 * <p>Thread-safe. Arguments must not be null.
 */
public final class RetryBudget {

  /** Number of requests that allow one retry. */
  public static final int REQUESTS_PER_RETRY = 10;

  /** Maximum burst of retries after a quiet period, enough for the streams of a failed runner. */
  public static final int MAX_BURST = 64;

  /** Maximum wait before the first retry; it doubles with each further retry, up to a limit. */
  public static final Duration INITIAL_BACKOFF = Duration.ofMillis(10);

  private static final int MAX_DOUBLINGS = 5;

  /** Each request adds one credit; a retry costs {@link #REQUESTS_PER_RETRY} credits. */
  private int credits = MAX_BURST * REQUESTS_PER_RETRY;

  /** Adds the credit of one new request. */
  public synchronized void recordRequest() {
    credits = Math.min(credits + 1, MAX_BURST * REQUESTS_PER_RETRY);
  }

  /** Takes the credits for one retry and returns whether the retry is allowed. */
  public synchronized boolean tryTake() {
    if (credits < REQUESTS_PER_RETRY) {
      return false;
    }
    credits -= REQUESTS_PER_RETRY;
    return true;
  }

  /** Returns the number of retries that are available now. */
  public synchronized int available() {
    return credits / REQUESTS_PER_RETRY;
  }

  /**
   * Returns the wait before a retry: exponential backoff with random jitter, so that retries of
   * different requests do not coincide.
   *
   * @param attempt number of failed attempts, at least 1
   * @param random source of the jitter
   */
  public static Duration backoff(int attempt, RandomGenerator random) {
    int doublings = Math.min(attempt - 1, MAX_DOUBLINGS);
    long maxNanos = INITIAL_BACKOFF.toNanos() << doublings;
    return Duration.ofNanos(random.nextLong(maxNanos / 2, maxNanos + 1));
  }
}
