package org.dragonflyhill.peer;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link PeerTable}. */
public final class PeerTableTest {

  private static final Instant NOW = Instant.EPOCH.plusSeconds(100);

  private PeerTable table;

  /** Creates an empty table. */
  @BeforeMethod
  public void start() {
    table = new PeerTable();
  }

  private static PeerMessage.Heartbeat heartbeat(long offset, PeerMessage.NodeReport... reports) {
    return new PeerMessage.Heartbeat(1, "node-a", offset, offset, "d", List.of(reports));
  }

  @Test
  public void keepsTheMoreRecentOfTwoReports() {
    table.recordHeartbeat(heartbeat(1, new PeerMessage.NodeReport("node-b", 5, 5, 1_000)), NOW);
    table.recordHeartbeat(heartbeat(1, new PeerMessage.NodeReport("node-b", 4, 4, 9_000)), NOW);
    assertEquals(table.entries().get(1).offset(), 5);
    assertEquals(table.entries().get(1).heardAt(), NOW.minusSeconds(1));
  }

  @Test
  public void returnsAtMostTheRequestedNumberOfReports() {
    table.recordHeartbeat(heartbeat(1, new PeerMessage.NodeReport("node-b", 5, 5, 0)), NOW);
    assertEquals(table.sampleReports(1, new Random(1), NOW).size(), 1);
    assertEquals(table.sampleReports(9, new Random(1), NOW).size(), 2);
  }

  @Test
  public void removesNodesThatAreNoLongerListed() {
    table.recordHeartbeat(heartbeat(1, new PeerMessage.NodeReport("node-b", 5, 5, 0)), NOW);
    table.retain(Set.of("node-b"));
    assertEquals(table.entries().getFirst().node(), "node-b");
  }
}
