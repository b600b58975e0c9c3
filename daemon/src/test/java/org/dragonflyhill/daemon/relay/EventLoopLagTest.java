package org.dragonflyhill.daemon.relay;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.dragonflyhill.daemon.NodeMetrics;
import org.testng.annotations.Test;

/** Tests the measurement of how late the event loop is. */
public final class EventLoopLagTest {

  private static final Instant START = Instant.EPOCH;

  private final NodeMetrics metrics = new NodeMetrics();
  private final DecisionLog log = new DecisionLog(() -> START);
  private final EventLoopLag lag = new EventLoopLag(Duration.ofMillis(50), metrics, log, START);

  private void runAt(long... millis) {
    for (long at : millis) {
      lag.record(START.plusMillis(at));
    }
  }

  /** Guards against an event loop that is late for seconds without a trace in log and metrics. */
  @Test
  public void recordsLatenessBeyondTheInterval() {
    runAt(50, 100, 1_350, 1_400);
    assertEquals(metrics.histogram(EventLoopLag.NAME).getSnapshot().getMax(), 1_200);
    assertEquals(log.totals().get("event_loop_late"), Long.valueOf(1));
  }

  @Test
  public void logsNothingWhileTheLoopIsAlmostInTime() {
    runAt(60, 300, 350);
    assertEquals(metrics.histogram(EventLoopLag.NAME).getSnapshot().getMax(), 190);
    assertEquals(log.totals().size(), 0);
  }
}
