package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.Test;

/** Tests of {@link TokenLimit}. */
public final class TokenLimitTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

  @Test
  public void grantsAtMostTheLimitOverTime() {
    TokenLimit limit = new TokenLimit();
    long granted = 0;
    for (int second = 0; second < 600; second++) {
      boolean isGranted = limit.take("a", 6_000, 100, NOW.plusSeconds(second)).isEmpty();
      boolean isSecondGranted = limit.take("a", 6_000, 100, NOW.plusSeconds(second)).isEmpty();
      granted += (isGranted ? 100 : 0) + (isSecondGranted ? 100 : 0);
    }
    assertTrue(granted <= 6_000 * 11 && granted >= 6_000 * 10, "granted " + granted);
  }

  @Test
  public void tellsWhenToComeBack() {
    TokenLimit limit = new TokenLimit();
    assertTrue(limit.take("a", 600, 1_200, NOW).isEmpty());
    Duration wait = limit.take("a", 600, 1, NOW).orElseThrow();
    assertTrue(limit.take("a", 600, 1, NOW.plus(wait).minusMillis(200)).isPresent());
    assertEquals(limit.take("a", 600, 1, NOW.plus(wait)), java.util.Optional.empty());
  }

  @Test
  public void organisationsDoNotShareLimits() {
    TokenLimit limit = new TokenLimit();
    limit.take("a", 600, 10_000, NOW);
    assertTrue(limit.take("b", 600, 1, NOW).isEmpty());
  }
}
