package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.Test;

/** Tests of {@link TokenRateLimiter}. */
public final class TokenRateLimiterTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

  @Test
  public void grantsAtMostTheLimit() {
    TokenRateLimiter limiter = new TokenRateLimiter();
    long granted = 0;
    for (int second = 0; second < 600; second++) {
      boolean isFirstGranted = limiter.tryTake("a", 6_000, 100, NOW.plusSeconds(second)).isEmpty();
      boolean isSecondGranted = limiter.tryTake("a", 6_000, 100, NOW.plusSeconds(second)).isEmpty();
      granted += (isFirstGranted ? 100 : 0) + (isSecondGranted ? 100 : 0);
    }
    assertTrue(granted <= 6_000 * 11 && granted >= 6_000 * 10, "granted " + granted);
  }

  @Test
  public void returnsWaitUntilTokensAreAvailable() {
    TokenRateLimiter limiter = new TokenRateLimiter();
    assertTrue(limiter.tryTake("a", 600, 1_200, NOW).isEmpty());
    Duration wait = limiter.tryTake("a", 600, 1, NOW).orElseThrow();
    assertTrue(limiter.tryTake("a", 600, 1, NOW.plus(wait).minusMillis(200)).isPresent());
    assertEquals(limiter.tryTake("a", 600, 1, NOW.plus(wait)), java.util.Optional.empty());
  }

  @Test
  public void limitsOrganisationsSeparately() {
    TokenRateLimiter limiter = new TokenRateLimiter();
    limiter.tryTake("a", 600, 10_000, NOW);
    assertTrue(limiter.tryTake("b", 600, 1, NOW).isEmpty());
  }
}
