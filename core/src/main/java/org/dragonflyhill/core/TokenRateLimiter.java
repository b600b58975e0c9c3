package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Limits the work of each organisation to a number of tokens a minute.
 *
 * <p>A request is let through while any of the minute's tokens are left, and may overdraw them: a
 * single request larger than the limit would otherwise never run. The debt is paid before the next.
 *
 * <pre>{@code
 * Optional<Duration> wait = limit.take("granja", 100_000, 4_000, now);
 * }</pre>
 *
 * <p>Not thread-safe; its owner guards it. No argument may be null.
 */
public final class TokenRateLimiter {

  private static final Duration PERIOD = Duration.ofMinutes(1);

  private final Map<String, Balance> balances = new HashMap<>();

  /**
   * Takes the tokens of a request, or returns how long to wait.
   *
   * @param organisation who asks
   * @param tokensPerMinute limit in force
   * @param work tokens of the request
   * @param now present time
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
    double elapsedNanos = Math.max(0, Duration.between(balance.at(), now).toNanos());
    double refilled = elapsedNanos / PERIOD.toNanos() * tokensPerMinute;
    return Math.min(tokensPerMinute, balance.tokens() + refilled);
  }

  private static Duration refillTime(double tokens, long tokensPerMinute) {
    return Duration.ofNanos((long) (tokens / Math.max(1, tokensPerMinute) * PERIOD.toNanos()));
  }

  /**
   * Tokens left at a time.
   *
   * @param tokens tokens, negative for a debt
   * @param at the time
   */
  private record Balance(double tokens, Instant at) {}
}
