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

  @Test
  public void urgentWorkDoesNotWaitForOrdinaryPrefill() {
    LoadEstimate load = estimateFrom(0, 0, 5_000);
    assertEquals(load.queueWait(true, SLOT_TIME, START), Duration.ZERO);
  }
}
