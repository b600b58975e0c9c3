package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.testng.annotations.Test;

/** Who may act under the lease on a duty, and when. */
public final class DutyLeaseTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final Duration TURN_GAP = Duration.ofSeconds(3);

  private static DutyLease lease() {
    return new DutyLease("me/1", TURN_GAP);
  }

  /** The first one may take it at once, and acts only within its duration. */
  @Test
  public void holdsForItsDuration() {
    DutyLease lease = lease();
    assertTrue(lease.mayTake(false, NOW));
    lease.granted(7, NOW, NOW.plusMillis(20));
    assertEquals(lease.held(NOW.plusMillis(1_499)).map(DutyLease.Held::token), Optional.of(7L));
    assertTrue(lease.held(NOW.plusMillis(1_500)).isEmpty());
    assertFalse(lease.isRenewalDue(NOW.plusMillis(499)));
    assertTrue(lease.isRenewalDue(NOW.plusMillis(500)));
  }

  /** Renewing keeps the fencing token. */
  @Test
  public void renewsUnderTheSameToken() {
    DutyLease lease = lease();
    lease.granted(7, NOW, NOW);
    lease.granted(8, NOW.plusMillis(500), NOW.plusMillis(510));
    assertEquals(lease.held(NOW.plusMillis(1_900)).map(DutyLease.Held::token), Optional.of(7L));
    assertEquals(lease.end(), 9);
  }

  /** A holder that is dead is followed after its lease, one that lives much later. */
  @Test
  public void waitsForTheLastHolder() {
    DutyLease lease = lease();
    lease.observed(5, Optional.of("other/1"), NOW);
    assertFalse(lease.mayTake(false, NOW.plusMillis(1_799)));
    assertTrue(lease.mayTake(false, NOW.plusMillis(1_800)));
    assertFalse(lease.mayTake(true, NOW.plusMillis(4_799)));
    assertTrue(lease.mayTake(true, NOW.plusMillis(4_800)));
  }

  /** Reading the same record again does not make it younger. */
  @Test
  public void countsFromTheFirstSight() {
    DutyLease lease = lease();
    lease.observed(5, Optional.of("other/1"), NOW);
    lease.observed(5, Optional.of("other/1"), NOW.plusMillis(1_700));
    assertTrue(lease.mayTake(false, NOW.plusMillis(1_800)));
    lease.observed(6, Optional.of("other/1"), NOW.plusMillis(1_800));
    assertFalse(lease.mayTake(false, NOW.plusMillis(1_900)));
  }

  /** Another's record ends the lease at once, whatever the clock says. */
  @Test
  public void losesItToRecordOfAnother() {
    DutyLease lease = lease();
    lease.granted(7, NOW, NOW);
    lease.observed(9, Optional.of("other/1"), NOW.plusMillis(100));
    assertTrue(lease.held(NOW.plusMillis(101)).isEmpty());
  }

  /** A process that was suspended gives it up. */
  @Test
  public void dropsIt() {
    DutyLease lease = lease();
    lease.granted(7, NOW, NOW);
    lease.drop();
    assertTrue(lease.held(NOW).isEmpty());
    lease.granted(12, NOW.plusMillis(50), NOW.plusMillis(60));
    assertEquals(lease.held(NOW.plusMillis(70)).map(DutyLease.Held::token), Optional.of(12L));
  }

  /** An earlier start of the same node is another holder. */
  @Test
  public void earlierStartIsAnotherHolder() {
    DutyLease lease = new DutyLease("me/2", TURN_GAP);
    lease.observed(5, Optional.of("me/1"), NOW);
    assertFalse(lease.mayTake(false, NOW.plusMillis(100)));
  }
}
