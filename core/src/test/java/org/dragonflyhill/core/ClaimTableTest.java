package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests of {@link ClaimTable}. */
public final class ClaimTableTest {

  private static final ClaimEvent.RequestKey KEY = new ClaimEvent.RequestKey("org", "k");

  private static final ClaimWindow WINDOW =
      new ClaimWindow(Duration.ofSeconds(10), Duration.ofSeconds(5));

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
    table.apply(1, new ClaimEvent.Settled(KEY, "a", 200, Optional.of("done"), "digest"));
    table.apply(2, new ClaimEvent.Released(KEY, "a"));
    assertTrue(table.entry(KEY).orElseThrow().outcome().isPresent());
  }

  @Test
  public void resolvedAsNotRunMayBeClaimedAgain() {
    ClaimTable table = new ClaimTable();
    table.apply(0, claimed("a"));
    table.apply(1, new ClaimEvent.Resolved(KEY, "a", false, "ana"));
    table.apply(2, claimed("b"));
    assertEquals(table.entry(KEY).orElseThrow().claimId(), "b");
  }

  @Test
  public void removesKeyOnlyAfterReplayAndGracePeriod() {
    ClaimTable table = new ClaimTable(WINDOW);
    table.apply(0, claimed("a"));
    table.apply(1, claimOn("x", "n1", 15_000));
    table.apply(2, claimOn("y", "n2", 15_000));
    assertTrue(table.entry(KEY).isPresent());
    table.apply(3, claimOn("z", "n1", 15_001));
    table.apply(4, claimOn("v", "n2", 15_001));
    assertTrue(table.entry(KEY).isEmpty());
    assertEquals(table.expiredUnknownCount(), 1);
  }

  @Test
  public void keepsFreshKeyWhenStreamTimeJumps() {
    ClaimTable table = new ClaimTable(WINDOW);
    table.apply(0, claimOn("x", "n1", 0));
    table.apply(1, claimOn("y", "n2", 0));
    table.apply(2, new ClaimEvent.Claimed(KEY, "a", "n1", "digest", 100_000));
    table.apply(3, claimOn("z", "n2", 100_001));
    assertTrue(table.entry(KEY).isPresent());
  }

  @Test
  public void singleFastClockExpiresNothing() {
    ClaimTable table = new ClaimTable(WINDOW);
    table.apply(0, claimed("a"));
    table.apply(1, claimOn("x", "n1", 1));
    table.apply(2, claimOn("y", "fast", 1_000_000));
    table.apply(3, claimOn("z", "fast", 2_000_000));
    assertTrue(table.entry(KEY).isPresent());
  }

  @Test
  public void losingClaimRestartsRetentionOfKey() {
    ClaimTable table = new ClaimTable(WINDOW);
    table.apply(0, claimed("a"));
    table.apply(1, claimOn("x", "n1", 14_000));
    table.apply(2, new ClaimEvent.Claimed(KEY, "b", "n2", "digest", 14_000));
    table.apply(3, claimOn("y", "n1", 28_000));
    table.apply(4, claimOn("z", "n2", 28_000));
    assertEquals(table.entry(KEY).orElseThrow().claimId(), "a");
  }

  private static ClaimEvent claimOn(String key, String node, long atMillis) {
    var requestKey = new ClaimEvent.RequestKey("org", key);
    return new ClaimEvent.Claimed(requestKey, key, node, "digest", atMillis);
  }
}
