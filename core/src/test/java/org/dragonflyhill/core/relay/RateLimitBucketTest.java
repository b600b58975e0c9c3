package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which rate limit of a runner is in force, and when this node may send a request. */
public final class RateLimitBucketTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final OptionalDouble FOUR = OptionalDouble.of(4);
  private static final OptionalDouble NONE = OptionalDouble.empty();

  private RunnerRateLimit limit;

  /** Creates a state without a limit. */
  @BeforeMethod
  public void start() {
    limit = new RunnerRateLimit();
  }

  /** Requests after a pause are spaced out like all others. */
  @Test
  public void pauseAllowsOneRequest() {
    limit.observe(FOUR, NOW, NOW);
    limit.setShare(4, NOW);
    assertFalse(limit.isPermitted(NOW));
    assertEquals(limit.timeUntilPermitted(NOW), Optional.of(Duration.ofMillis(250)));
    Instant later = NOW.plusSeconds(60);
    assertTrue(limit.isPermitted(later));
    limit.recordRequest(later);
    assertFalse(limit.isPermitted(later.plusMillis(240)));
    assertTrue(limit.isPermitted(later.plusMillis(250)));
  }

  /** A token must not outlive the share that it came from. */
  @Test
  public void lostShareTakesItsToken() {
    limit.observe(FOUR, NOW, NOW);
    limit.setShare(4, NOW);
    limit.setShare(0, NOW.plusSeconds(1));
    assertFalse(limit.isPermitted(NOW.plusSeconds(2)));
    assertEquals(limit.timeUntilPermitted(NOW.plusSeconds(2)), Optional.empty());
    limit.setShare(4, NOW.plusSeconds(3));
    assertFalse(limit.isPermitted(NOW.plusSeconds(3)));
  }

  /** An answer without a limit that was overtaken by one with a limit does not end it. */
  @Test
  public void onlyLaterRequestEndsLimit() {
    limit.observe(FOUR, NOW, NOW.plusMillis(100));
    assertFalse(limit.observe(NONE, NOW.plusMillis(50), NOW.plusMillis(200)));
    assertEquals(limit.perSecond(), FOUR);
    assertTrue(limit.observe(NONE, NOW.plusMillis(150), NOW.plusMillis(300)));
    assertTrue(limit.isPermitted(NOW.plusMillis(300)));
  }

  /** A peer's reading counts if it is newer, and is not passed on as this node's own. */
  @Test
  public void newestReadingHolds() {
    limit.observe(FOUR, NOW, NOW);
    assertFalse(limit.observeReported(NONE, NOW.minusMillis(1)));
    assertTrue(limit.observeReported(OptionalDouble.of(3), NOW.plusMillis(500)));
    assertEquals(
        limit.report(7, NOW.plusSeconds(1)),
        Optional.of(new RateLimitReport(7, FOUR, Duration.ofSeconds(1))));
    assertEquals(limit.report(7, NOW.plusSeconds(11)), Optional.empty());
  }

  /** Shares of all nodes add up to the limit, and a node with many requests has more of it. */
  @Test
  public void sharesAddUp() {
    Map<String, Double> rates = Map.of("a", 90.0, "b", 5.0, "c", 5.0, "d", 0.0);
    for (double perSecond : new double[] {0.5, 1, 3.7, 400}) {
      double sum =
          rates.keySet().stream()
              .mapToDouble(node -> RateLimitShares.share("i-1", perSecond, node, rates))
              .sum();
      assertEquals(sum, perSecond, 1e-6);
    }
    assertTrue(
        RateLimitShares.share("i-1", 400, "a", rates)
            > 10 * RateLimitShares.share("i-1", 400, "b", rates));
  }

  /** No more nodes send than requests are accepted in a second. */
  @Test
  public void fewNodesSendIfLimitIsLow() {
    Map<String, Double> rates = Map.of("a", 9.0, "b", 9.0, "c", 9.0, "d", 9.0);
    assertEquals(senders(0, rates), 1);
    assertEquals(senders(0.5, rates), 1);
    assertEquals(senders(3.7, rates), 3);
    assertEquals(senders(1e12, rates), 4);
  }

  private static long senders(double perSecond, Map<String, Double> rates) {
    return rates.keySet().stream()
        .filter(node -> RateLimitShares.share("i-1", perSecond, node, rates) > 0)
        .count();
  }

  /** The time of return grows with the requests ahead, and callers are told different times. */
  @Test
  public void forecastsTimeOfReturn() {
    var forecast = new RateLimitForecast(2, 4, Optional.of(Duration.ofMillis(200)));
    assertEquals(forecast.waitBehind(3), Optional.of(Duration.ofMillis(950)));
    assertEquals(forecast.retryAfter(3, 0), Duration.ofMillis(950));
    assertEquals(forecast.retryAfter(3, 1), Duration.ofMillis(1_900));
    assertTrue(forecast.mayWaitBehind(0, Duration.ofMillis(400)));
    assertFalse(forecast.mayWaitBehind(1, Duration.ofMillis(400)));
    var withoutShare = new RateLimitForecast(2, 0, Optional.empty());
    assertFalse(withoutShare.mayWaitBehind(0, Duration.ofSeconds(10)));
    assertEquals(withoutShare.retryAfter(5, 0), Duration.ofMillis(400));
  }
}
