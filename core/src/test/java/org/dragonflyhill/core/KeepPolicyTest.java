package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.Test;

/** Tests of {@link KeepPolicy}. */
public final class KeepPolicyTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final int PIECES = 200;

  /** A tenth of a second of prefill against a fortieth of a second on the link. */
  private static final KeepPolicy.Cost COST = new KeepPolicy.Cost(2_000, 25_000, 20_000, 1_000_000);

  private static KeepPolicy seenTwice(Duration gap) {
    KeepPolicy policy = new KeepPolicy();
    for (int i = 0; i < PIECES; i++) {
      policy.seen("group", "piece-" + i, NOW);
    }
    for (int i = 0; i < PIECES; i++) {
      policy.seen("group", "piece-" + i, NOW.plus(gap));
    }
    return policy;
  }

  @Test
  public void keepsWhatReturnsAfterHours() {
    assertTrue(seenTwice(Duration.ofHours(9)).isWorthKeeping("group", COST));
  }

  @Test
  public void stopsKeepingWhatNeverReturns() {
    KeepPolicy policy = new KeepPolicy();
    assertTrue(policy.isWorthKeeping("group", COST), "a group not known yet");
    for (int i = 0; i < PIECES; i++) {
      policy.seen("group", "piece-" + i, NOW);
    }
    assertFalse(policy.isWorthKeeping("group", COST));
    assertTrue(policy.isWorthKeeping("other", COST));
  }

  @Test
  public void learnsNothingFromReturnsThatTheRunnerStillHolds() {
    double chance = seenTwice(KeepPolicy.MIN_GAP.minusMillis(1)).returnChance("group");
    assertEquals(chance, 1.0 / (PIECES + 2));
  }

  @Test
  public void keepsNothingThatTheLinkCarriesSlowerThanItIsComputed() {
    var slow = new KeepPolicy.Cost(2_000, 25_000, 20_000, 100_000);
    assertFalse(seenTwice(Duration.ofHours(9)).isWorthKeeping("group", slow));
  }
}
