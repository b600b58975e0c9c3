package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Patterns of nodes that are cut off from runners: which peers serve their requests. */
public final class ForwardTargetsTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final int REQUESTS = 600;

  private static List<HolderAssignment.Peer> peers(int count) {
    List<HolderAssignment.Peer> peers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      peers.add(new HolderAssignment.Peer("n" + i, "z" + i % 3));
    }
    return peers;
  }

  /** Number of peers, and how many of them are cut off too. */
  @DataProvider
  public Object[][] patterns() {
    return new Object[][] {{3, 0}, {3, 2}, {4, 1}, {60, 0}, {60, 20}, {60, 57}};
  }

  /** The peers in reach share the load evenly; those that are cut off get nothing. */
  @Test(dataProvider = "patterns")
  public void peersInReachShareTheLoad(int count, int cutOff) {
    ForwardTargets targets = new ForwardTargets();
    for (int i = 0; i < cutOff; i++) {
      targets.recordOutOfReach("n" + i, Set.of("s"), NOW);
    }
    Map<String, Integer> served = new HashMap<>();
    for (int i = 0; i < REQUESTS; i++) {
      String peer = targets.choose("s", "r" + i, peers(count), Set.of(), NOW).orElseThrow();
      served.merge(peer, 1, Integer::sum);
      targets.recordStarted(peer);
      if (targets.requests(peer) > 10) {
        served.keySet().forEach(targets::recordEnded);
      }
    }
    assertEquals(served.size(), count - cutOff);
    int fair = REQUESTS / (count - cutOff);
    served.forEach((peer, requests) -> assertTrue(requests <= 2 * fair + 1, served.toString()));
  }

  /** A peer that cannot reach one service serves the others, and counts again after a while. */
  @Test
  public void cutsConcernOneServiceAndEnd() {
    ForwardTargets targets = new ForwardTargets();
    targets.recordOutOfReach("n0", Set.of("s"), NOW);
    assertEquals(targets.choose("s", "r", peers(1), Set.of(), NOW), Optional.empty());
    assertEquals(targets.choose("t", "r", peers(1), Set.of(), NOW), Optional.of("n0"));
    Instant later = NOW.plusSeconds(2);
    assertEquals(targets.choose("s", "r", peers(1), Set.of(), later), Optional.of("n0"));
  }

  /** The load that one node puts on a peer is bounded, and peers are not tried twice. */
  @Test
  public void loadOfPeersIsBounded() {
    ForwardTargets targets = new ForwardTargets();
    assertEquals(targets.choose("s", "r", peers(1), Set.of("n0"), NOW), Optional.empty());
    for (int i = 0; i < ForwardTargets.MAX_REQUESTS_PER_PEER; i++) {
      assertEquals(targets.choose("s", "r", peers(1), Set.of(), NOW), Optional.of("n0"));
      targets.recordStarted("n0");
    }
    assertEquals(targets.choose("s", "r", peers(1), Set.of(), NOW), Optional.empty());
    targets.recordEnded("n0");
    assertEquals(targets.choose("s", "r", peers(1), Set.of(), NOW), Optional.of("n0"));
  }
}
