package org.dragonflyhill.core;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests of {@link SnapshotPolicy}. */
public final class SnapshotPolicyTest {

  private static final Instant START = Instant.EPOCH;
  private static final SnapshotPolicy POLICY =
      new SnapshotPolicy(100, Duration.ofMinutes(30), Duration.ofSeconds(10));

  private static SnapshotPolicy.Progress progress(int changes, Optional<Instant> expired) {
    return new SnapshotPolicy.Progress(changes, START, expired);
  }

  @Test
  public void waitsForManyChanges() {
    assertFalse(POLICY.isDue(progress(99, Optional.empty()), 0, START));
    assertTrue(POLICY.isDue(progress(100, Optional.empty()), 0, START));
  }

  @Test
  public void renewsOldSnapshotWithoutChanges() {
    Instant end = START.plus(Duration.ofMinutes(30));
    assertFalse(POLICY.isDue(progress(0, Optional.empty()), 0, end.minusSeconds(1)));
    assertTrue(POLICY.isDue(progress(0, Optional.empty()), 0, end));
  }

  @Test
  public void letsLaterRanksWait() {
    Instant end = START.plus(Duration.ofMinutes(30));
    assertFalse(POLICY.isDue(progress(100, Optional.empty()), 1, end));
    assertTrue(POLICY.isDue(progress(100, Optional.empty()), 1, end.plusSeconds(10)));
  }

  @Test
  public void replacesExpiredRecordsAtOnce() {
    assertTrue(POLICY.isDue(progress(0, Optional.of(START)), 0, START));
    assertFalse(POLICY.isDue(progress(0, Optional.of(START)), 2, START.plusSeconds(19)));
  }
}
