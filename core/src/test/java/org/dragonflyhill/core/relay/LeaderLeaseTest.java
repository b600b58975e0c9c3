package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.testng.annotations.Test;

/** Acquisition, renewal and loss of the leader lease. */
public final class LeaderLeaseTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final Duration HANDOVER_DELAY = Duration.ofSeconds(3);

  private static LeaderLease lease() {
    return new LeaderLease("me/1", HANDOVER_DELAY);
  }

  /** The first node may acquire the lease at once and may act only until it expires. */
  @Test
  public void holdsForItsDuration() {
    LeaderLease lease = lease();
    assertTrue(lease.mayAcquire(false, NOW));
    lease.confirmAppend(7, NOW, NOW.plusMillis(20));
    assertEquals(lease.held(NOW.plusMillis(1_499)).map(LeaderLease.Held::token), Optional.of(7L));
    assertTrue(lease.held(NOW.plusMillis(1_500)).isEmpty());
    assertFalse(lease.isRenewalDue(NOW.plusMillis(499)));
    assertTrue(lease.isRenewalDue(NOW.plusMillis(500)));
  }

  /** A renewal keeps the fencing token. */
  @Test
  public void renewsUnderTheSameToken() {
    LeaderLease lease = lease();
    lease.confirmAppend(7, NOW, NOW);
    lease.confirmAppend(8, NOW.plusMillis(500), NOW.plusMillis(510));
    assertEquals(lease.held(NOW.plusMillis(1_900)).map(LeaderLease.Held::token), Optional.of(7L));
    assertEquals(lease.nextOffset(), 9);
  }

  /** The lease of a dead holder can be taken over when it has expired, that of a live one later. */
  @Test
  public void waitsForTheLastHolder() {
    LeaderLease lease = lease();
    lease.observeLog(5, Optional.of("other/1"), NOW);
    assertFalse(lease.mayAcquire(false, NOW.plusMillis(1_799)));
    assertTrue(lease.mayAcquire(false, NOW.plusMillis(1_800)));
    assertFalse(lease.mayAcquire(true, NOW.plusMillis(4_799)));
    assertTrue(lease.mayAcquire(true, NOW.plusMillis(4_800)));
  }

  /** The age of a record counts from the first read, not from later reads of the same record. */
  @Test
  public void countsAgeFromTheFirstRead() {
    LeaderLease lease = lease();
    lease.observeLog(5, Optional.of("other/1"), NOW);
    lease.observeLog(5, Optional.of("other/1"), NOW.plusMillis(1_700));
    assertTrue(lease.mayAcquire(false, NOW.plusMillis(1_800)));
    lease.observeLog(6, Optional.of("other/1"), NOW.plusMillis(1_800));
    assertFalse(lease.mayAcquire(false, NOW.plusMillis(1_900)));
  }

  /** A newer record of another node ends the lease even before it expires. */
  @Test
  public void losesLeaseToRecordOfAnotherNode() {
    LeaderLease lease = lease();
    lease.confirmAppend(7, NOW, NOW);
    lease.observeLog(9, Optional.of("other/1"), NOW.plusMillis(100));
    assertTrue(lease.held(NOW.plusMillis(101)).isEmpty());
  }

  /**
   * A node that drops the lease, as after a suspension of its process, may not act any more. The
   * next lease gets a new fencing token.
   */
  @Test
  public void dropsTheLease() {
    LeaderLease lease = lease();
    lease.confirmAppend(7, NOW, NOW);
    lease.drop();
    assertTrue(lease.held(NOW).isEmpty());
    lease.confirmAppend(12, NOW.plusMillis(50), NOW.plusMillis(60));
    assertEquals(lease.held(NOW.plusMillis(70)).map(LeaderLease.Held::token), Optional.of(12L));
  }

  /** An earlier incarnation of the same node counts as another holder. */
  @Test
  public void earlierIncarnationIsAnotherHolder() {
    LeaderLease lease = new LeaderLease("me/2", HANDOVER_DELAY);
    lease.observeLog(5, Optional.of("me/1"), NOW);
    assertFalse(lease.mayAcquire(false, NOW.plusMillis(100)));
  }
}
