package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests of {@link HedgeDelay}. */
public final class HedgeDelayTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);

  /** Time between two requests, so that the window holds some of them only. */
  private static final Duration INTERVAL = Duration.ofMillis(10);

  private static final Duration ESTIMATE = Duration.ofSeconds(1);

  @Test
  public void delayIsAtLeastMinimum() {
    assertEquals(new HedgeDelay().delay(Duration.ZERO, NOW), HedgeDelay.MIN_DELAY);
  }

  @Test
  public void fewFirstChunksAreLaterThanDelay() {
    HedgeDelay hedgeDelay = new HedgeDelay();
    Random random = new Random(1);
    int late = 0;
    int chunks = 10_000;
    for (int i = 0; i < chunks; i++) {
      Instant now = NOW.plus(INTERVAL.multipliedBy(i));
      Duration actual = Duration.ofMillis((long) (1_000 * Math.exp(random.nextGaussian() * 0.5)));
      late += actual.compareTo(hedgeDelay.delay(ESTIMATE, now)) > 0 ? 1 : 0;
      hedgeDelay.recordFirstChunk(ESTIMATE, actual, now);
    }
    assertTrue(late < chunks / 10, late + " of " + chunks);
  }
}
