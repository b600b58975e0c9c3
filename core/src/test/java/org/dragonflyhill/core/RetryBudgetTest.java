package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests of {@link RetryBudget}. */
public final class RetryBudgetTest {

  private static int takeAll(RetryBudget budget) {
    int taken = 0;
    while (budget.tryTake()) {
      taken++;
    }
    return taken;
  }

  @Test
  public void grantsRetryPerTenRequestsAfterBurst() {
    RetryBudget budget = new RetryBudget();
    assertEquals(takeAll(budget), RetryBudget.MAX_BURST);
    int granted = 0;
    for (int request = 0; request < 1_000; request++) {
      budget.recordRequest();
      granted += budget.tryTake() ? 1 : 0;
    }
    assertEquals(granted, 100);
  }

  @Test
  public void burstIsLimited() {
    RetryBudget budget = new RetryBudget();
    for (int request = 0; request < 100_000; request++) {
      budget.recordRequest();
    }
    assertEquals(takeAll(budget), RetryBudget.MAX_BURST);
    assertFalse(budget.tryTake());
  }

  @Test
  public void backoffGrowsWithJitter() {
    Random random = new Random(1);
    for (int attempt = 1; attempt < 10; attempt++) {
      long maxNanos = RetryBudget.INITIAL_BACKOFF.toNanos() << Math.min(attempt - 1, 5);
      Duration wait = RetryBudget.backoff(attempt, random);
      assertTrue(wait.toNanos() >= maxNanos / 2 && wait.toNanos() <= maxNanos, wait.toString());
    }
  }
}
