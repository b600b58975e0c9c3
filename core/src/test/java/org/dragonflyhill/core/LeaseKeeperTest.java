package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests of {@link LeaseKeeper}. */
public final class LeaseKeeperTest {

  private static final Instant START = Instant.EPOCH;
  private static final Duration LEASE = Duration.ofSeconds(6);

  private static LeaseKeeper keeper(String holder) {
    return new LeaseKeeper("orders", holder, LEASE, START);
  }

  private static Instant at(double seconds) {
    return START.plusMillis((long) (seconds * 1_000));
  }

  @Test
  public void firstRankAsksAtOnce() {
    assertTrue(keeper("a").next(at(0), 0).isPresent());
    assertFalse(keeper("b").next(at(0), 1).isPresent());
  }

  @Test
  public void holdsOnceItsRecordCounted() {
    LeaseKeeper keeper = keeper("a");
    var record = keeper.next(at(0), 0).orElseThrow();
    assertFalse(keeper.held(at(0)).isPresent());
    keeper.observed(0, record, at(0.1));
    assertTrue(keeper.held(at(5.9)).isPresent());
  }

  @Test
  public void countsItsLeaseFromBeforeTheRecordWasSent() {
    LeaseKeeper keeper = keeper("a");
    var record = keeper.next(at(0), 0).orElseThrow();
    keeper.observed(0, record, at(5));
    assertFalse(keeper.held(at(6)).isPresent());
  }

  @Test
  public void renewsBeforeTheEndUnderTheSameToken() {
    LeaseKeeper keeper = keeper("a");
    keeper.observed(7, keeper.next(at(0), 0).orElseThrow(), at(0.1));
    assertFalse(keeper.next(at(1), 0).isPresent());
    keeper.observed(8, keeper.next(at(2), 0).orElseThrow(), at(2.1));
    assertEquals(keeper.held(at(7)).orElseThrow().fencingToken(), 7);
  }

  @Test
  public void loserOfTwoRecordsDoesNotHold() {
    LeaseKeeper first = keeper("a");
    LeaseKeeper second = keeper("b");
    var one = first.next(at(0), 0).orElseThrow();
    var two = second.next(at(0), 0).orElseThrow();
    for (LeaseKeeper keeper : new LeaseKeeper[] {first, second}) {
      keeper.observed(0, one, at(0.1));
      keeper.observed(1, two, at(0.1));
    }
    assertTrue(first.held(at(1)).isPresent());
    assertFalse(second.held(at(1)).isPresent());
  }

  @Test
  public void recordOfFormerProcessIsNotItsOwn() {
    LeaseKeeper former = keeper("a/1");
    var record = former.next(at(0), 0).orElseThrow();
    LeaseKeeper restarted = keeper("a/2");
    restarted.observed(0, record, at(1));
    assertFalse(restarted.held(at(1)).isPresent());
  }

  @Test
  public void takesOverOnlyAfterTheLeaseRanOut() {
    LeaseKeeper other = keeper("b");
    other.observed(0, keeper("a").next(at(0), 0).orElseThrow(), at(1));
    assertFalse(other.next(at(7.4), 0).isPresent());
    assertTrue(other.next(at(7.5), 0).isPresent());
  }

  @Test
  public void recordSentAgainIsNotTakenForTheFirst() {
    LeaseKeeper keeper = keeper("a");
    var first = keeper.next(at(0), 0).orElseThrow();
    keeper.next(at(6.2), 0).orElseThrow();
    keeper.observed(0, first, at(6.3));
    assertFalse(keeper.held(at(6.3)).isPresent());
  }

  /** Random pauses, slow reads and lost appends never let two hold the lease at once. */
  @Test
  public void neverTwoHoldersUnderPausesAndDelays() {
    for (int seed = 1; seed <= 200; seed++) {
      LeaseSchedule schedule = new LeaseSchedule(new Random(seed));
      assertEquals(schedule.runAndCountOverlaps(2_000), 0, "seed " + seed);
      assertTrue(schedule.heldTicks() > 0, "seed " + seed);
    }
  }
}
