package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.dragonflyhill.core.RendezvousHash;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Who reads the cache events of runners and stores, in a model of nodes that report to each other.
 * Ticks of the model are 150 ms apart.
 */
public final class HolderAssignmentTest {

  private static final Instant START = Instant.ofEpochSecond(1_000);
  private static final int ZONES = 3;
  private static final int NODES = 9;
  private static final int HOLDERS = 30;

  /** Number of ticks after which every change of the nodes has been noticed and handled. */
  private static final int SETTLED = 40;

  /** Names of nodes, in the order in which they read a holder. */
  private static final List<String> PQN = List.of("p", "q", "n");

  /** Number of ticks after which a read times out. */
  private static final int READ_TIMEOUT_TICKS = 8;

  private final List<Node> nodes = new ArrayList<>();
  private final Set<String> cutLinks = new HashSet<>();
  private final Set<Endpoint> silentHolders = new HashSet<>();
  private int tick;

  /** Starts all nodes at once. */
  @BeforeMethod
  public void start() {
    nodes.clear();
    cutLinks.clear();
    silentHolders.clear();
    tick = 0;
    for (int i = 0; i < NODES; i++) {
      nodes.add(new Node("n" + i, "z" + i % ZONES, START));
    }
  }

  private static Endpoint holder(int i) {
    return new Endpoint("10.0.0." + i, 80);
  }

  private Instant now() {
    return START.plus(PeerSchedule.REPORTS.tick().multipliedBy(tick));
  }

  private void run(int ticks) {
    for (int i = 0; i < ticks; i++) {
      tick++;
      nodes.stream().filter(Node::isRunning).forEach(Node::read);
      for (Node sender : nodes) {
        for (Node receiver : nodes) {
          boolean isCut = cutLinks.contains(sender.name + ">" + receiver.name);
          if (sender != receiver && sender.isRunning() && receiver.isRunning() && !isCut) {
            receiver.receive(sender);
          }
        }
      }
    }
  }

  private long readers(int holder) {
    return nodes.stream().filter(n -> n.isRunning() && n.reading.contains(holder(holder))).count();
  }

  private void assertAllKnow(Duration maxAge) {
    for (Node node : nodes) {
      for (int i = 0; i < HOLDERS && node.isRunning(); i++) {
        Instant at = node.freshAt.getOrDefault(holder(i), START);
        Duration age = Duration.between(at, now());
        assertTrue(age.compareTo(maxAge) <= 0, node.name + " holder " + i + " age " + age);
      }
    }
  }

  /** Each holder has one reader, in its own zone, and all nodes get its changes. */
  @Test
  public void oneNodeReadsEachHolder() {
    run(SETTLED);
    for (int i = 0; i < HOLDERS; i++) {
      assertEquals(readers(i), 1, "readers of holder " + i);
    }
    for (Node node : nodes) {
      node.reading.forEach(each -> assertEquals(Node.zoneOf(each), node.zone));
    }
    assertAllKnow(PeerSchedule.REPORTS.tick());
  }

  /** At no time do all nodes read everything, also not while they do not know each other yet. */
  @Test
  public void noStormOfReadsAtStart() {
    for (int i = 0; i < SETTLED; i++) {
      run(1);
      for (int holder = 0; holder < HOLDERS; holder++) {
        assertTrue(readers(holder) <= 1, "readers at tick " + tick);
      }
    }
  }

  /** A reader that is killed or frozen is replaced before others read for themselves. */
  @Test
  public void takesOverFromKilledOrFrozenReader() {
    run(SETTLED);
    nodes.get(0).isFrozen = true;
    run(SETTLED);
    for (int i = 0; i < HOLDERS; i++) {
      assertEquals(readers(i), 1, "readers of holder " + i);
    }
    assertAllKnow(PeerSchedule.REPORTS.tick());
    nodes.get(0).isFrozen = false;
    run(SETTLED);
    for (int i = 0; i < HOLDERS; i++) {
      assertEquals(readers(i), 1, "readers after it is back");
    }
  }

  /** Entries are never older than the takeover takes. */
  @Test
  public void takeoverIsBounded() {
    run(SETTLED);
    nodes.get(0).isFrozen = true;
    for (int i = 0; i < SETTLED; i++) {
      run(1);
      assertAllKnow(HolderAssignment.TAKEOVER_TIMEOUT.plus(PeerSchedule.REPORTS.tick()));
    }
  }

  /** A zone without live nodes is read from the other zones. */
  @Test
  public void otherZonesReadForLostZone() {
    run(SETTLED);
    nodes.stream().filter(node -> node.zone.equals("z0")).forEach(node -> node.isFrozen = true);
    run(SETTLED);
    for (int i = 0; i < HOLDERS; i++) {
      assertEquals(readers(i), 1, "readers of holder " + i);
    }
    assertAllKnow(PeerSchedule.REPORTS.tick());
  }

  /**
   * A link that is cut one way: the node that hears nothing from a reader, which all others hear,
   * reads that one's holders itself.
   */
  @Test
  public void nodeBehindOneWayCutReadsItself() {
    run(SETTLED);
    cutLinks.add("n0>n4");
    run(SETTLED);
    assertAllKnow(HolderAssignment.TAKEOVER_TIMEOUT);
    long extra = nodes.get(4).reading.stream().filter(nodes.get(0).reading::contains).count();
    assertEquals(extra, nodes.get(0).reading.size());
    cutLinks.clear();
    run(SETTLED);
    for (int i = 0; i < HOLDERS; i++) {
      assertEquals(readers(i), 1, "readers after the cut");
    }
  }

  /** A node that is cut off from all others, or is alone, reads everything itself. */
  @Test
  public void isolatedNodeReadsEverything() {
    run(SETTLED);
    nodes.forEach(
        node -> {
          cutLinks.add("n0>" + node.name);
          cutLinks.add(node.name + ">n0");
        });
    run(SETTLED);
    assertEquals(nodes.get(0).reading.size(), HOLDERS);
    assertAllKnow(HolderAssignment.TAKEOVER_TIMEOUT);
  }

  /** A reader that is alive but cannot read its holders: other nodes read them. */
  @Test
  public void readsWhatAssignedNodeCannotRead() {
    run(SETTLED);
    nodes.get(0).canRead = false;
    run(SETTLED);
    for (Node node : nodes.subList(1, NODES)) {
      for (int i = 0; i < HOLDERS; i++) {
        Duration age = Duration.between(node.freshAt.get(holder(i)), now());
        assertTrue(age.compareTo(HolderAssignment.TAKEOVER_TIMEOUT) <= 0, "age " + age);
      }
    }
  }

  /**
   * Guards against closes that reach runners late: a holder that answered nobody for some seconds
   * was read by all nodes, also after it answered again.
   */
  @Test
  public void fewNodesReadHolderThatDoesNotAnswer() {
    run(SETTLED);
    silentHolders.add(holder(0));
    for (int i = 0; i < 2 * SETTLED; i++) {
      run(1);
      assertTrue(readers(0) <= 3, readers(0) + " readers at tick " + tick);
    }
    silentHolders.clear();
    run(SETTLED);
    assertEquals(readers(0), 1, "readers after it answers again");
    assertAllKnow(PeerSchedule.REPORTS.tick());
  }

  /**
   * Guards against closes that reach runners late: nodes with slow links that had read nothing for
   * some seconds read everything at once, for which their links were too slow, and never got back.
   */
  @Test
  public void slowNodesRecoverFromPause() {
    nodes.forEach(node -> node.readsPerTick = 2);
    run(3 * SETTLED);
    nodes.forEach(node -> node.canRead = false);
    run(20);
    nodes.forEach(node -> node.canRead = true);
    run(3 * SETTLED);
    for (int i = 0; i < HOLDERS; i++) {
      assertEquals(readers(i), 1, "readers of holder " + i);
    }
    assertAllKnow(HolderAssignment.TAKEOVER_TIMEOUT);
  }

  /** The monotonic clock of a suspended node stands still; on waking it hears its peers again. */
  @Test
  public void suspendedNodeCatchesUp() {
    run(SETTLED);
    Node suspended = nodes.get(2);
    suspended.isFrozen = true;
    run(10);
    suspended.clockLag = Duration.ofMillis(1_500);
    suspended.isFrozen = false;
    run(SETTLED);
    for (int i = 0; i < HOLDERS; i++) {
      assertEquals(readers(i), 1, "readers of holder " + i);
    }
  }

  /** A holder that is not listed any more is not reported. */
  @Test
  public void forgetsHolders() {
    HolderAssignment assignment = new HolderAssignment("n", "z", START);
    assignment.recordRead(holder(1), START);
    assertEquals(assignment.recentReads(START), Map.of(holder(1), Duration.ZERO));
    assignment.forget(holder(1));
    assertEquals(assignment.recentReads(START), Map.of());
    assertFalse(assignment.isReadHere(holder(2), "z", List.of(), START));
  }

  /** An assignment is kept only while the same nodes are alive in the same zones. */
  @Test
  public void followsChangesOfPeers() {
    HolderAssignment assignment = new HolderAssignment("n", "z", START);
    for (int i = 0; i < HOLDERS; i++) {
      assertTrue(assignment.isReadHere(holder(i), "z", peersIn("far"), START));
      boolean isFirst =
          RendezvousHash.rank(holder(i).toString(), List.of("n", "p")).getFirst().equals("n");
      assertEquals(assignment.isReadHere(holder(i), "z", peersIn("z"), START), isFirst);
      assertEquals(assignment.isReadHere(holder(i), "other", peersIn("z"), START), isFirst);
      assertFalse(assignment.isReadHere(holder(i), "far", peersIn("far"), START));
    }
  }

  /**
   * The assigned reader reads nothing, and is taken for dead and alive in turn; the node that
   * replaces it meanwhile reads nothing either.
   */
  @Test
  public void readerThatComesAndGoesIsReplaced() {
    Endpoint holder =
        IntStream.range(0, 1_000)
            .mapToObj(HolderAssignmentTest::holder)
            .filter(h -> RendezvousHash.rank(h.toString(), List.of("n", "p", "q")).equals(PQN))
            .findFirst()
            .orElseThrow();
    HolderAssignment assignment = new HolderAssignment("n", "z", START);
    var p = new HolderAssignment.Peer("p", "z");
    var q = new HolderAssignment.Peer("q", "z");
    boolean isReadHere = false;
    for (int i = 0; i < 2 * SETTLED && !isReadHere; i++) {
      Instant at = START.plus(PeerSchedule.REPORTS.tick().multipliedBy(i));
      boolean isHeard = i / 7 % 2 == 0;
      if (isHeard) {
        assignment.recordReports("p", Map.of(holder, Duration.ofMinutes(1)), at);
      }
      isReadHere = assignment.isReadHere(holder, "z", isHeard ? List.of(p, q) : List.of(q), at);
    }
    assertTrue(isReadHere);
  }

  private static List<HolderAssignment.Peer> peersIn(String zone) {
    return List.of(new HolderAssignment.Peer("p", zone));
  }

  /** A node of the model. */
  private final class Node {
    private final String name;
    private final String zone;
    private final HolderAssignment assignment;
    private final PeerTable peers = new PeerTable();
    private final Map<Endpoint, Instant> freshAt = new HashMap<>();
    private final Map<Endpoint, Instant> readAt = new HashMap<>();
    private final Set<Endpoint> reading = new HashSet<>();
    private Duration clockLag = Duration.ZERO;
    private boolean isFrozen;
    private boolean canRead = true;

    /**
     * Number of reads that fit through the link of this node in one tick. Reads go on side by side,
     * so they take the longer the more there are, and time out.
     */
    private int readsPerTick = HOLDERS;

    private int sequence;

    Node(String name, String zone, Instant startedAt) {
      this.name = name;
      this.zone = zone;
      assignment = new HolderAssignment(name, zone, startedAt);
    }

    boolean isRunning() {
      return !isFrozen;
    }

    static String zoneOf(Endpoint holder) {
      String last = holder.host().substring(holder.host().lastIndexOf('.') + 1);
      return "z" + Integer.parseInt(last) % ZONES;
    }

    private Instant clock() {
      return now().minus(clockLag);
    }

    void read() {
      reading.clear();
      List<HolderAssignment.Peer> live = peers.livePeers(clock());
      for (int i = 0; i < HOLDERS; i++) {
        Endpoint holder = holder(i);
        if (assignment.isReadHere(holder, zoneOf(holder), live, clock())) {
          reading.add(holder);
        }
      }
      if (canRead && reading.size() <= readsPerTick * READ_TIMEOUT_TICKS) {
        reading.stream()
            .filter(holder -> !silentHolders.contains(holder))
            .sorted(Comparator.comparing(holder -> readAt.getOrDefault(holder, START)))
            .limit(readsPerTick)
            .forEach(
                holder -> {
                  assignment.recordRead(holder, clock());
                  readAt.put(holder, now());
                  freshAt.put(holder, now());
                });
      }
    }

    void receive(Node sender) {
      peers.update(PeerReports.of(sender.name, sender.zone, 1, ++sender.sequence), clock());
      Map<Endpoint, Duration> reads = sender.assignment.reads(sender.clock());
      assignment.recordReports(sender.name, reads, clock());
      reads.forEach(
          (holder, age) -> freshAt.merge(holder, now().minus(age), (a, b) -> a.isAfter(b) ? a : b));
    }
  }
}
