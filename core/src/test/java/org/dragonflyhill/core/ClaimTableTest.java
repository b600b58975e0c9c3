package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of {@link ClaimTable}. */
public final class ClaimTableTest {

  private static final ClaimEvent.RequestKey KEY = new ClaimEvent.RequestKey("org", "k");

  private static ClaimEvent claimed(String id) {
    return new ClaimEvent.Claimed(KEY, id, "node", "digest", 0);
  }

  @Test
  public void firstClaimInLogOrderWins() {
    ClaimTable table = new ClaimTable();
    table.apply(0, claimed("a"));
    table.apply(1, claimed("b"));
    assertEquals(table.entry(KEY).orElseThrow().claimId(), "a");
  }

  @Test
  public void releaseByAnotherClaimChangesNothing() {
    ClaimTable table = new ClaimTable();
    table.apply(0, claimed("a"));
    table.apply(1, new ClaimEvent.Released(KEY, "b"));
    assertEquals(table.entry(KEY).orElseThrow().claimId(), "a");
  }

  @Test
  public void settledClaimKeepsItsAnswer() {
    ClaimTable table = new ClaimTable();
    table.apply(0, claimed("a"));
    table.apply(1, new ClaimEvent.Settled(KEY, "a", 200, "done"));
    table.apply(2, new ClaimEvent.Released(KEY, "a"));
    assertTrue(table.entry(KEY).orElseThrow().outcome().isPresent());
  }
}
