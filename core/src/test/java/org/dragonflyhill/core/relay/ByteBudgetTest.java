package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** The limit on bytes of responses that are being collected. */
public final class ByteBudgetTest {

  /** A response is too long by itself, or because of the others that are being collected. */
  @Test
  public void limitsEachAndAllTogether() {
    ByteBudget budget = new ByteBudget(100, 250);
    ByteBudget.Share first = budget.open();
    assertTrue(first.add(100));
    assertTrue(budget.open().add(90));
    ByteBudget.Share third = budget.open();
    assertTrue(third.add(60));
    assertFalse(third.add(1), "all together");
    third.release();
    assertFalse(first.add(1), "of one");
    first.release();
    assertEquals(budget.total(), 90);
    assertTrue(first.add(100), "the next response");
  }

  /** Bytes are given back once only. */
  @Test
  public void releasesOnce() {
    ByteBudget budget = new ByteBudget(100, 250);
    ByteBudget.Share share = budget.open();
    share.add(70);
    share.release();
    share.release();
    assertEquals(budget.total(), 0);
  }
}
