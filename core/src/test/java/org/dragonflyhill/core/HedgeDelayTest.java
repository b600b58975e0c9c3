package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests of {@link HedgeDelay}. */
public final class HedgeDelayTest {

  private static final Duration ESTIMATE = Duration.ofSeconds(1);

  @Test
  public void neverHedgesBelowMinimum() {
    assertEquals(new HedgeDelay().delay(Duration.ZERO), HedgeDelay.MIN_DELAY);
  }

  @Test
  public void fewWaitsAreLongerThanTheDelay() {
    HedgeDelay hedgeDelay = new HedgeDelay();
    Random random = new Random(1);
    int late = 0;
    int waits = 10_000;
    for (int i = 0; i < waits; i++) {
      Duration waited = Duration.ofMillis((long) (1_000 * Math.exp(random.nextGaussian() * 0.5)));
      late += waited.compareTo(hedgeDelay.delay(ESTIMATE)) > 0 ? 1 : 0;
      hedgeDelay.observed(ESTIMATE, waited);
    }
    assertTrue(late < waits / 10, late + " of " + waits);
  }
}
