package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link LinkBudget}. */
public final class LinkBudgetTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final LinkBudget.Link LINK = new LinkBudget.Link("store-1", 1_000);

  @Test
  public void estimateAccountsForQueuedTransfers() {
    LinkBudget budget = new LinkBudget();
    assertEquals(budget.estimateBytesPerSecond(LINK, 500, NOW), 1_000);
    budget.reserve(LINK, 500, NOW);
    assertEquals(budget.estimateBytesPerSecond(LINK, 500, NOW), 500);
    assertEquals(budget.estimateBytesPerSecond(LINK, 500, NOW.plusMillis(500)), 1_000);
  }

  @Test
  public void doesNotAdmitExportDuringImport() {
    LinkBudget budget = new LinkBudget();
    budget.reserve(LINK, 1_000, NOW);
    assertFalse(budget.tryReserveExport(List.of(LINK), 10, NOW.plusMillis(999)));
    assertTrue(budget.tryReserveExport(List.of(LINK), 10, NOW.plusMillis(1_000)));
  }

  @Test
  public void exportsAreLimitedToTheirShare() {
    LinkBudget budget = new LinkBudget();
    int admitted = 0;
    for (int millis = 0; millis < 10_000; millis++) {
      admitted += budget.tryReserveExport(List.of(LINK), 100, NOW.plusMillis(millis)) ? 1 : 0;
    }
    // A quarter of the 10,000 bytes that the link carries in 10 s, in exports of 100 bytes.
    assertEquals(admitted, 25);
  }

  @Test
  public void admitsExportOnAllLinksOrNone() {
    LinkBudget budget = new LinkBudget();
    var busy = new LinkBudget.Link("runner-1", 1_000);
    budget.reserve(busy, 1_000, NOW);
    assertFalse(budget.tryReserveExport(List.of(LINK, busy), 100, NOW));
    assertTrue(budget.tryReserveExport(List.of(LINK), 100, NOW));
  }
}
