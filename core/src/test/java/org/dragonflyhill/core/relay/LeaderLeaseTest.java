package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Acquisition, renewal and loss of the leader lease. */
public final class LeaderLeaseTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final Duration HANDOVER_DELAY = Duration.ofSeconds(3);

  private static LeaderLease lease() {
    return new LeaderLease("me/1", HANDOVER_DELAY);
  }

  private static LogPosition at(long offset) {
    return new LogPosition(0, offset);
  }

  private static LogPosition restored(long offset) {
    return new LogPosition(1, offset);
  }

  /** The first node may acquire the lease at once and may act only until it expires. */
  @Test
  public void holdsForItsDuration() {
    LeaderLease lease = lease();
    assertTrue(lease.mayAcquire(false, NOW));
    lease.confirmAppend(at(7), NOW, NOW.plusMillis(20));
    assertEquals(lease.held(NOW.plusMillis(1_499)).map(LeaderLease.Held::token), Optional.of(7L));
    assertTrue(lease.held(NOW.plusMillis(1_500)).isEmpty());
    assertFalse(lease.isRenewalDue(NOW.plusMillis(499)));
    assertTrue(lease.isRenewalDue(NOW.plusMillis(500)));
  }

  /** A renewal keeps the fencing token. */
  @Test
  public void renewsUnderTheSameToken() {
    LeaderLease lease = lease();
    lease.confirmAppend(at(7), NOW, NOW);
    lease.confirmAppend(at(8), NOW.plusMillis(500), NOW.plusMillis(510));
    assertEquals(lease.held(NOW.plusMillis(1_900)).map(LeaderLease.Held::token), Optional.of(7L));
    assertEquals(lease.logEnd(), at(9));
  }

  /** The lease of a dead holder can be taken over when it has expired, that of a live one later. */
  @Test
  public void waitsForTheLastHolder() {
    LeaderLease lease = lease();
    lease.observeLog(at(5), Optional.of("other/1"), NOW);
    assertFalse(lease.mayAcquire(false, NOW.plusMillis(1_799)));
    assertTrue(lease.mayAcquire(false, NOW.plusMillis(1_800)));
    assertFalse(lease.mayAcquire(true, NOW.plusMillis(4_799)));
    assertTrue(lease.mayAcquire(true, NOW.plusMillis(4_800)));
  }

  /** The age of a record counts from the first read, not from later reads of the same record. */
  @Test
  public void countsAgeFromTheFirstRead() {
    LeaderLease lease = lease();
    lease.observeLog(at(5), Optional.of("other/1"), NOW);
    lease.observeLog(at(5), Optional.of("other/1"), NOW.plusMillis(1_700));
    assertTrue(lease.mayAcquire(false, NOW.plusMillis(1_800)));
    lease.observeLog(at(6), Optional.of("other/1"), NOW.plusMillis(1_800));
    assertFalse(lease.mayAcquire(false, NOW.plusMillis(1_900)));
  }

  /** A newer record of another node ends the lease even before it expires. */
  @Test
  public void losesLeaseToRecordOfAnotherNode() {
    LeaderLease lease = lease();
    lease.confirmAppend(at(7), NOW, NOW);
    lease.observeLog(at(9), Optional.of("other/1"), NOW.plusMillis(100));
    assertTrue(lease.held(NOW.plusMillis(101)).isEmpty());
  }

  /**
   * A node that drops the lease, as after a suspension of its process, may not act any more. The
   * next lease gets a new fencing token.
   */
  @Test
  public void dropsTheLease() {
    LeaderLease lease = lease();
    lease.confirmAppend(at(7), NOW, NOW);
    lease.drop();
    assertTrue(lease.held(NOW).isEmpty());
    lease.confirmAppend(at(12), NOW.plusMillis(50), NOW.plusMillis(60));
    assertEquals(lease.held(NOW.plusMillis(70)).map(LeaderLease.Held::token), Optional.of(12L));
  }

  /** An earlier incarnation of the same node counts as another holder. */
  @Test
  public void earlierIncarnationIsAnotherHolder() {
    LeaderLease lease = new LeaderLease("me/2", HANDOVER_DELAY);
    lease.observeLog(at(5), Optional.of("me/1"), NOW);
    assertFalse(lease.mayAcquire(false, NOW.plusMillis(100)));
  }

  /**
   * Guards against orders of two nodes with one fencing token (review case 1): the log came back
   * from a copy without the first lease record, and the next record got the same offset.
   */
  @Test
  public void tokenIsHigherAfterTheLogWasRestored() {
    LeaderLease before = lease();
    before.confirmAppend(at(70_000), NOW, NOW);
    LeaderLease after = new LeaderLease("other/1", HANDOVER_DELAY);
    after.observeLog(restored(0), Optional.empty(), NOW);
    Instant later = NOW.plusSeconds(5);
    after.confirmAppend(restored(0), later, later);
    long token = before.held(NOW).orElseThrow().token();
    long tokenAfter = after.held(later).orElseThrow().token();
    assertTrue(tokenAfter > token, tokenAfter + " after " + token);
  }

  /**
   * In the first epoch the token is the offset, as in the release before, which knows no epochs.
   */
  @Test
  public void tokenIsTheOffsetUntilTheLogIsRestored() {
    LeaderLease lease = lease();
    lease.confirmAppend(at(12), NOW, NOW);
    assertEquals(lease.held(NOW).map(LeaderLease.Held::token), Optional.of(12L));
  }

  /**
   * Guards against two live nodes taking turns after a restore: a copy that names no holder, or an
   * earlier one, says nothing of the node that gave orders last.
   */
  @Test
  public void waitsAfterRestoreWhateverTheCopySays() {
    for (Optional<String> holder :
        List.of(Optional.<String>empty(), Optional.of("other/1"), Optional.of("me/1"))) {
      LeaderLease lease = lease();
      lease.observeLog(at(5), Optional.of("me/1"), NOW.minusSeconds(60));
      lease.observeLog(restored(3), holder, NOW);
      assertFalse(lease.mayAcquire(false, NOW.plusMillis(4_799)), "copy names " + holder);
      assertTrue(lease.mayAcquire(false, NOW.plusMillis(4_800)), "copy names " + holder);
    }
  }

  /** A node that starts after a restore does not know who held the lease before it. */
  @Test
  public void newNodeWaitsInRestoredLog() {
    LeaderLease lease = lease();
    lease.observeLog(restored(0), Optional.empty(), NOW);
    assertFalse(lease.mayAcquire(false, NOW.plusMillis(4_799)));
    assertTrue(lease.mayAcquire(false, NOW.plusMillis(4_800)));
  }

  /** The node whose lease is valid at a restore goes on at once, under a new token. */
  @Test
  public void holderReacquiresAfterRestore() {
    LeaderLease lease = lease();
    lease.confirmAppend(at(7), NOW, NOW);
    lease.observeLog(restored(4), Optional.of("other/1"), NOW.plusMillis(700));
    assertTrue(lease.held(NOW.plusMillis(700)).isEmpty());
    assertTrue(lease.mayAcquire(true, NOW.plusMillis(1_499)));
    assertFalse(lease.mayAcquire(true, NOW.plusMillis(1_500)));
    lease.confirmAppend(restored(4), NOW.plusMillis(800), NOW.plusMillis(810));
    assertEquals(
        lease.held(NOW.plusMillis(900)).map(LeaderLease.Held::token),
        Optional.of(restored(4).fencingToken()));
  }

  /** A suspended holder may have lost its lease before the restore. */
  @Test
  public void suspendedHolderWaitsAfterRestore() {
    LeaderLease lease = lease();
    lease.confirmAppend(at(7), NOW, NOW);
    lease.drop();
    lease.observeLog(restored(4), Optional.of("me/1"), NOW.plusMillis(100));
    assertFalse(lease.mayAcquire(false, NOW.plusMillis(200)));
  }

  /** A copy that has grown to the same length under another holder is not the log as known. */
  @Test
  public void sameLengthInAnotherEpochIsAnotherLog() {
    LeaderLease lease = lease();
    lease.confirmAppend(at(7), NOW, NOW);
    lease.observeLog(restored(8), Optional.of("other/1"), NOW.plusMillis(100));
    assertTrue(lease.held(NOW.plusMillis(101)).isEmpty());
    assertEquals(lease.lastHolder(), Optional.of("other/1"));
    assertEquals(lease.logEnd(), restored(8));
  }

  /** A record that this node sent before the restore and that arrives after it grants no lease. */
  @Test
  public void lateRecordGrantsNoLease() {
    LeaderLease lease = lease();
    lease.observeLog(at(5), Optional.of("other/1"), NOW.minusSeconds(9));
    lease.observeLog(restored(5), Optional.of("other/1"), NOW);
    lease.observeLog(restored(6), Optional.of("me/1"), NOW.plusMillis(10));
    assertFalse(lease.mayAcquire(false, NOW.plusMillis(4_799)));
    assertTrue(lease.mayAcquire(false, NOW.plusMillis(4_810)));
  }

  /** What an overtaken read says of the log before the restore changes nothing. */
  @Test
  public void ignoresReadsOfAnOlderEpoch() {
    LeaderLease lease = lease();
    lease.observeLog(restored(3), Optional.of("other/1"), NOW);
    lease.observeLog(at(9), Optional.of("third/1"), NOW.plusMillis(10));
    lease.confirmAppend(at(9), NOW, NOW.plusMillis(20));
    assertEquals(lease.logEnd(), restored(3));
    assertEquals(lease.lastHolder(), Optional.of("other/1"));
    assertTrue(lease.held(NOW.plusMillis(21)).isEmpty());
  }
}
