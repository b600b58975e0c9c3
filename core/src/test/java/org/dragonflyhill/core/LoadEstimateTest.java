package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.Test;

/** Tests of {@link LoadEstimate}. */
public final class LoadEstimateTest {

  private static final Instant START = Instant.ofEpochSecond(1_000);
  private static final Duration SLOT_TIME = Duration.ofSeconds(4);

  private static LoadEstimate estimateFrom(int running, int queued, long tokens) {
    return estimateFrom(new LoadEstimate.Capacity(2, 0, 1_000, 1), running, queued, tokens);
  }

  private static LoadEstimate estimateFrom(
      LoadEstimate.Capacity capacity, int running, int queued, long tokens) {
    LoadEstimate load = new LoadEstimate(capacity);
    load.update(new LoadEstimate.Report(running, queued, tokens, START));
    return load;
  }

  @Test
  public void reportedTokensDrainWithTime() {
    LoadEstimate load = estimateFrom(0, 0, 3_000);
    Duration wait = load.queueWait(false, SLOT_TIME, START.plusSeconds(1));
    assertEquals(wait, Duration.ofSeconds(2));
  }

  @Test
  public void countsRequestsSentAfterReport() {
    LoadEstimate load = estimateFrom(0, 0, 1_000);
    load.recordSent(2_000, false, START.plusSeconds(1));
    Duration wait = load.queueWait(false, SLOT_TIME, START.plusSeconds(1));
    assertEquals(wait, Duration.ofSeconds(2));
  }

  @Test
  public void newReportReplacesRequestsSentBefore() {
    LoadEstimate load = estimateFrom(0, 0, 1_000);
    load.recordSent(2_000, false, START.plusSeconds(1));
    load.update(new LoadEstimate.Report(0, 0, 500, START.plusSeconds(2)));
    Duration wait = load.queueWait(false, SLOT_TIME, START.plusSeconds(2));
    assertEquals(wait, Duration.ofMillis(500));
  }

  @Test
  public void ordinaryWorkWaitsForReservedSlot() {
    LoadEstimate load = estimateFrom(new LoadEstimate.Capacity(2, 1, 1_000, 1), 1, 0, 0);
    assertEquals(load.queueWait(false, SLOT_TIME, START), Duration.ofSeconds(2));
    assertEquals(load.queueWait(true, SLOT_TIME, START), Duration.ZERO);
  }

  /** Ordinary requests that found no free slot wait behind an urgent one. */
  @Test
  public void urgentWorkDoesNotWaitForOrdinaryRequestsSentSinceReport() {
    LoadEstimate load = estimateFrom(new LoadEstimate.Capacity(4, 1, 1_000, 1), 3, 0, 0);
    for (int i = 0; i < 6; i++) {
      load.recordSent(0, false, START);
    }
    assertEquals(load.queueWait(true, SLOT_TIME, START), Duration.ZERO);
    load.recordSent(0, true, START);
    assertEquals(load.queueWait(true, SLOT_TIME, START), Duration.ofSeconds(1));
  }

  /** Ordinary requests take the free slots that are not reserved, also before an urgent one. */
  @Test
  public void ordinaryRequestsSentSinceReportTakeFreeSlots() {
    LoadEstimate load = estimateFrom(new LoadEstimate.Capacity(2, 0, 1_000, 1), 1, 0, 0);
    load.recordSent(0, false, START);
    assertEquals(load.queueWait(true, SLOT_TIME, START), Duration.ofSeconds(2));
  }

  @Test
  public void urgentWorkDoesNotWaitForOrdinaryPrefill() {
    LoadEstimate load = estimateFrom(0, 0, 5_000);
    assertEquals(load.queueWait(true, SLOT_TIME, START), Duration.ZERO);
  }
}
