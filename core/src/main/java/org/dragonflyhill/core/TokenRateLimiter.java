package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Limits each organisation to a number of tokens per minute with a token bucket.
 *
 * <p>A request is allowed if any tokens are left, and may overdraw the balance; otherwise a request
 * larger than the limit would never run. After an overdraft, further requests are rejected until
 * the balance is positive again.
 *
 * <pre>{@code
 * Optional<Duration> wait = limiter.tryTake("granja", 100_000, 4_000, now);
 * }</pre>
 *
 * <p>Not thread-safe; callers must synchronize access. Arguments must not be null.
 */
public final class TokenRateLimiter {

  private static final Duration PERIOD = Duration.ofMinutes(1);

  private final Map<String, Balance> balances = new HashMap<>();

  /**
   * Takes the tokens of a request and returns empty, or returns how long to wait before a retry.
   *
   * @param organisation name of the organisation that sent the request
   * @param tokensPerMinute current limit of the organisation
   * @param work cost of the request in tokens
   * @param now the current time
   */
  public Optional<Duration> tryTake(
      String organisation, long tokensPerMinute, long work, Instant now) {
    double available = availableTokens(organisation, tokensPerMinute, now);
    if (available <= 0) {
      return Optional.of(refillTime(1 - available, tokensPerMinute));
    }
    balances.put(organisation, new Balance(available - work, now));
    return Optional.empty();
  }

  private double availableTokens(String organisation, long tokensPerMinute, Instant now) {
    Balance balance = balances.get(organisation);
    if (balance == null) {
      return tokensPerMinute;
    }
    double elapsedNanos = Math.max(0, Duration.between(balance.updatedAt(), now).toNanos());
    double refilled = elapsedNanos / PERIOD.toNanos() * tokensPerMinute;
    return Math.min(tokensPerMinute, balance.tokens() + refilled);
  }

  private static Duration refillTime(double tokens, long tokensPerMinute) {
    return Duration.ofNanos((long) (tokens / Math.max(1, tokensPerMinute) * PERIOD.toNanos()));
  }

  /**
   * Balance of an organisation at its last request.
   *
   * @param tokens number of tokens left, negative after an overdraft
   * @param updatedAt time of the last request that was allowed
   */
  private record Balance(double tokens, Instant updatedAt) {}
}
