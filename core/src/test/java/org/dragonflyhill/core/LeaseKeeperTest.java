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
  public void firstRankRequestsLeaseImmediately() {
    assertTrue(keeper("a").nextRecord(at(0), 0).isPresent());
    assertFalse(keeper("b").nextRecord(at(0), 1).isPresent());
  }

  @Test
  public void holdsLeaseOnceItsRecordIsAccepted() {
    LeaseKeeper keeper = keeper("a");
    var record = keeper.nextRecord(at(0), 0).orElseThrow();
    assertFalse(keeper.heldLease(at(0)).isPresent());
    keeper.onRecord(0, record, at(0.1));
    assertTrue(keeper.heldLease(at(5.9)).isPresent());
  }

  @Test
  public void leaseStartsBeforeRecordIsSent() {
    LeaseKeeper keeper = keeper("a");
    var record = keeper.nextRecord(at(0), 0).orElseThrow();
    keeper.onRecord(0, record, at(5));
    assertFalse(keeper.heldLease(at(6)).isPresent());
  }

  @Test
  public void renewsBeforeTheEndUnderTheSameToken() {
    LeaseKeeper keeper = keeper("a");
    keeper.onRecord(7, keeper.nextRecord(at(0), 0).orElseThrow(), at(0.1));
    assertFalse(keeper.nextRecord(at(1), 0).isPresent());
    keeper.onRecord(8, keeper.nextRecord(at(2), 0).orElseThrow(), at(2.1));
    assertEquals(keeper.heldLease(at(7)).orElseThrow().fencingToken(), 7);
  }

  @Test
  public void loserOfTwoRecordsDoesNotHold() {
    LeaseKeeper first = keeper("a");
    LeaseKeeper second = keeper("b");
    var one = first.nextRecord(at(0), 0).orElseThrow();
    var two = second.nextRecord(at(0), 0).orElseThrow();
    for (LeaseKeeper keeper : new LeaseKeeper[] {first, second}) {
      keeper.onRecord(0, one, at(0.1));
      keeper.onRecord(1, two, at(0.1));
    }
    assertTrue(first.heldLease(at(1)).isPresent());
    assertFalse(second.heldLease(at(1)).isPresent());
  }

  @Test
  public void ignoresRecordOfPreviousProcess() {
    LeaseKeeper former = keeper("a/1");
    var record = former.nextRecord(at(0), 0).orElseThrow();
    LeaseKeeper restarted = keeper("a/2");
    restarted.onRecord(0, record, at(1));
    assertFalse(restarted.heldLease(at(1)).isPresent());
  }

  @Test
  public void takesOverOnlyAfterLeaseExpires() {
    LeaseKeeper other = keeper("b");
    other.onRecord(0, keeper("a").nextRecord(at(0), 0).orElseThrow(), at(1));
    assertFalse(other.nextRecord(at(7.4), 0).isPresent());
    assertTrue(other.nextRecord(at(7.5), 0).isPresent());
  }

  @Test
  public void recordSentAgainIsNotTakenForTheFirst() {
    LeaseKeeper keeper = keeper("a");
    var first = keeper.nextRecord(at(0), 0).orElseThrow();
    keeper.nextRecord(at(6.2), 0).orElseThrow();
    keeper.onRecord(0, first, at(6.3));
    assertFalse(keeper.heldLease(at(6.3)).isPresent());
  }

  /** No two nodes hold the lease at once under random pauses, slow reads and lost appends. */
  @Test
  public void neverTwoHoldersUnderPausesAndDelays() {
    for (int seed = 1; seed <= 200; seed++) {
      LeaseSimulation simulation = new LeaseSimulation(new Random(seed));
      assertEquals(simulation.runAndCountOverlaps(2_000), 0, "seed " + seed);
      assertTrue(simulation.heldTicks() > 0, "seed " + seed);
    }
  }
}
