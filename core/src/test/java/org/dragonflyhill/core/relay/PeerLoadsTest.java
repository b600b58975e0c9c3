package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Sums of the loads that peers report, which a selection reads for each runner. */
public final class PeerLoadsTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);

  private final PeerTable peers = new PeerTable();

  private void report(String node, int running, Instant at) {
    var load = new PeerReport.Load(running, List.of(10L, 20L), List.of(100L, 200L));
    peers.update(PeerReports.withLoads(node, Map.of("r1", load)), at);
  }

  /** Guards against sums that are kept although a report arrived or expired since. */
  @Test
  public void sumsFollowReportsAndTheirExpiry() {
    report("n2", 3, NOW);
    assertEquals(peers.running("r1", NOW), 3);
    report("n3", 4, NOW);
    assertEquals(peers.running("r1", NOW), 7);
    assertEquals(peers.prefillTokensAhead("r1", 0, NOW), 20);
    assertEquals(peers.prefillTokensAhead("r1", 9, NOW), 60);
    assertEquals(peers.memoryTokensAhead("r1", 1, NOW), 600);
    assertEquals(peers.running("r2", NOW), 0);
    assertFalse(peers.isChangingWeights("r1", NOW));
    Instant later = NOW.plus(PeerTable.LOAD_MAX_AGE).plusMillis(1);
    assertEquals(peers.running("r1", later), 0);
    assertEquals(peers.running("r1", NOW), 7);
  }

  /** The period of reports grows with the number of peers, as do the limits derived from it. */
  @Test
  public void periodGrowsWithPeers() {
    assertEquals(PeerSchedule.REPORTS.period(3), Duration.ofMillis(150));
    assertEquals(PeerSchedule.REPORTS.period(142), Duration.ofMillis(1_200));
  }
}
