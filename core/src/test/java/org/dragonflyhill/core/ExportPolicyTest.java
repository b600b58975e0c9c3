package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.Test;

/** Tests of {@link ExportPolicy}. */
public final class ExportPolicyTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final int PIECES = 200;

  /** Prefill takes 100 ms; a transfer over the link takes 25 ms. */
  private static final ExportPolicy.Cost COST =
      new ExportPolicy.Cost(2_000, 25_000, 20_000, 1_000_000);

  private static ExportPolicy policyAfterReuse(Duration interval) {
    ExportPolicy policy = new ExportPolicy();
    for (int i = 0; i < PIECES; i++) {
      policy.recordUse("group", "piece-" + i, NOW);
    }
    for (int i = 0; i < PIECES; i++) {
      policy.recordUse("group", "piece-" + i, NOW.plus(interval));
    }
    return policy;
  }

  @Test
  public void exportsPiecesReusedAfterHours() {
    assertTrue(policyAfterReuse(Duration.ofHours(9)).isWorthExporting("group", COST));
  }

  @Test
  public void stopsExportingPiecesNeverReused() {
    ExportPolicy policy = new ExportPolicy();
    assertTrue(policy.isWorthExporting("group", COST), "group without recorded uses");
    for (int i = 0; i < PIECES; i++) {
      policy.recordUse("group", "piece-" + i, NOW);
    }
    assertFalse(policy.isWorthExporting("group", COST));
    assertTrue(policy.isWorthExporting("other", COST));
  }

  @Test
  public void ignoresReuseWhileRunnerStillHoldsPiece() {
    double probability =
        policyAfterReuse(ExportPolicy.MIN_REUSE_INTERVAL.minusMillis(1)).reuseProbability("group");
    assertEquals(probability, 1.0 / (PIECES + 2));
  }

  @Test
  public void doesNotExportWhenTransferIsSlowerThanPrefill() {
    var slow = new ExportPolicy.Cost(2_000, 25_000, 20_000, 100_000);
    assertFalse(policyAfterReuse(Duration.ofHours(9)).isWorthExporting("group", slow));
  }
}
