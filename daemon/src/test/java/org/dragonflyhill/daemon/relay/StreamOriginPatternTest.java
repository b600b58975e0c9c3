package org.dragonflyhill.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.dragonflyhill.core.relay.HolderAssignment;
import org.dragonflyhill.core.relay.StreamOrigin;
import org.dragonflyhill.core.relay.StreamOriginBacklog;
import org.dragonflyhill.core.relay.StreamOrigins;
import org.dragonflyhill.daemon.NodeMetrics;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Patterns in which callers take up streams at other nodes, with nodes that die and datagrams that
 * get lost, without a network.
 */
public final class StreamOriginPatternTest {

  private static final int STREAMS = 400;
  private static final StreamOrigin ORIGIN = new StreamOrigin("s", "v1", "");
  private static final Duration TICK = Duration.ofMillis(20);

  /** Pattern: nodes, share of datagrams lost, whether the first node dies, dead zone, restarts. */
  @DataProvider
  public Object[][] patterns() {
    return new Object[][] {
      {"same nodes", 4, 0.0, false, false, 0},
      {"first node dies", 4, 0.0, true, false, 0},
      {"first node dies, datagrams lost", 4, 0.1, true, false, 0},
      {"first node dies, five nodes", 5, 0.02, true, false, 0},
      {"first node dies, many nodes", 61, 0.02, true, false, 0},
      {"zone of the first node dies", 61, 0.02, true, true, 0},
      {"another node restarts", 4, 0.02, true, false, 1},
      {"ten nodes restart", 61, 0.02, true, false, 10},
    };
  }

  /** At least nine of ten streams go on, none of them at another version. */
  @Test(dataProvider = "patterns")
  public void streamsAreKnownWhereCallersReturn(
      String name, int nodes, double loss, boolean dies, boolean zoneDies, int restarts) {
    for (int seed = 1; seed <= 20; seed++) {
      Network network = new Network(nodes, loss, new Random(seed));
      int known = 0;
      int asked = 0;
      for (int i = 0; i < STREAMS; i++) {
        String attempt = "attempt" + seed + "-" + i;
        StreamOrigin origin = new StreamOrigin("s", "v" + i % 3, "");
        network.dead.clear();
        Node first = network.nodes.get(network.random.nextInt(nodes));
        first.directory.begin(attempt, origin);
        network.deliver();
        for (int restart = 0; restart < restarts; restart++) {
          network.nodes.get(network.random.nextInt(nodes)).restart();
        }
        if (dies) {
          network.dead.add(first);
        }
        if (zoneDies) {
          network.nodes.stream()
              .filter(node -> node.zone().equals(first.zone()))
              .forEach(network.dead::add);
        }
        Node second = network.liveNode();
        List<Optional<StreamOrigins.Known>> found = new ArrayList<>();
        second.directory.find(attempt, found::add);
        network.settle();
        assertEquals(found.size(), 1, name + ", seed " + seed);
        asked++;
        if (found.getFirst().isPresent()) {
          known++;
          assertEquals(found.getFirst().get().origin(), origin, name + ", seed " + seed);
        }
      }
      assertTrue(known >= 0.9 * asked, name + ", seed " + seed + ": " + known + " of " + asked);
    }
  }

  /** A stream that nobody knows ends its lookup without waiting for dead peers for long. */
  @Test
  public void unknownStreamsAreAnsweredInTime() {
    Network network = new Network(4, 0, new Random(1));
    network.dead.add(network.nodes.get(3));
    List<Optional<StreamOrigins.Known>> found = new ArrayList<>();
    network.nodes.get(0).directory.find("never-begun", found::add);
    Instant start = network.now;
    network.settle();
    assertEquals(found, List.of(Optional.empty()));
    assertTrue(Duration.between(start, network.now).compareTo(Duration.ofMillis(200)) <= 0);
  }

  /** Lost questions are asked again, before the lookup is given up. */
  @Test
  public void asksAgainIfNobodyAnswers() {
    Network network = new Network(4, 0, new Random(1));
    network.nodes.get(0).directory.begin("begun", ORIGIN);
    network.deliver();
    Node restarted = network.nodes.get(1);
    restarted.restart();
    List<Optional<StreamOrigins.Known>> found = new ArrayList<>();
    restarted.directory.find("begun", found::add);
    network.messages.clear();
    network.settle();
    assertEquals(found.getFirst().map(StreamOrigins.Known::origin), Optional.of(ORIGIN));
  }

  /** If those that should have been told know nothing, the other nodes are asked. */
  @Test
  public void asksOtherNodesIfHoldersKnowNothing() {
    Network network = new Network(61, 0, new Random(1));
    network.nodes.get(7).directory.begin("begun", ORIGIN);
    network.messages.clear();
    for (Node node : List.of(network.nodes.get(8), network.nodes.get(9))) {
      List<Optional<StreamOrigins.Known>> found = new ArrayList<>();
      node.directory.find("begun", found::add);
      network.deliver();
      assertEquals(found.getFirst().map(StreamOrigins.Known::origin), Optional.of(ORIGIN));
    }
  }

  /**
   * Guards against streams of which nobody knows the version (day rejoined, rule LOST): all nodes
   * lose power at once while two versions serve, and come back. Only what was not yet in the log is
   * unknown.
   */
  @Test
  public void allNodesRestartWhileTwoVersionsServe() {
    Network network = new Network(4, 0, new Random(1));
    for (int i = 0; i < STREAMS; i++) {
      Node first = network.nodes.get(i % 4);
      first.directory.begin("attempt" + i, new StreamOrigin("s", "v" + i % 2, ""));
      network.now = network.now.plusMillis(10);
      network.writeJournals(true);
      network.deliver();
    }
    network.nodes.forEach(Node::restart);
    int known = 0;
    for (int i = 0; i < STREAMS; i++) {
      List<Optional<StreamOrigins.Known>> found = new ArrayList<>();
      network.nodes.get((i + 1) % 4).directory.find("attempt" + i, found::add);
      network.settle();
      assertEquals(found.size(), 1);
      if (found.getFirst().isPresent()) {
        known++;
        assertEquals(found.getFirst().get().origin(), new StreamOrigin("s", "v" + i % 2, ""));
      }
    }
    int lag = (int) StreamOriginBacklog.MIN_INTERVAL.toMillis() / 10;
    assertTrue(known >= STREAMS - lag, known + " of " + STREAMS);
  }

  /** A node that neither knows a stream nor hears from its peers reads it in the log. */
  @Test
  public void nodeWithoutPeersReadsTheLog() {
    Network network = new Network(4, 0, new Random(1));
    network.nodes.get(0).directory.begin("begun", ORIGIN);
    network.writeJournals(true);
    network.messages.clear();
    network.dead.add(network.nodes.get(0));
    List<Optional<StreamOrigins.Known>> found = new ArrayList<>();
    network.nodes.get(3).directory.find("begun", found::add);
    network.settle();
    assertEquals(found.getFirst().map(StreamOrigins.Known::source), Optional.of("log"));
  }

  /** While a service has one version only, nothing is written. */
  @Test
  public void writesNothingForSoleVersion() {
    Network network = new Network(4, 0, new Random(1));
    network.nodes.get(0).directory.begin("begun", ORIGIN);
    network.writeJournals(false);
    assertEquals(network.log.size(), 0);
  }

  /** Directories of nodes whose messages are delivered at once or lost. */
  private static final class Network {
    private final Random random;
    private final double loss;
    private final List<Node> nodes = new ArrayList<>();
    private final Set<Node> dead = new HashSet<>();
    private final Queue<Runnable> messages = new ArrayDeque<>();
    private final List<Map<String, StreamOrigin>> log = new ArrayList<>();
    private Instant now = Instant.ofEpochSecond(1_000);

    Network(int count, double loss, Random random) {
      this.loss = loss;
      this.random = random;
      for (int i = 0; i < count; i++) {
        nodes.add(new Node(this, i));
      }
    }

    void writeJournals(boolean areNeeded) {
      nodes.forEach(
          node ->
              node.directory.writeJournal(
                  service -> areNeeded, Duration.ofSeconds(18), nodes.size()));
    }

    Node liveNode() {
      List<Node> live = nodes.stream().filter(node -> !dead.contains(node)).toList();
      return live.get(random.nextInt(live.size()));
    }

    void send(Node from, String to, Consumer<Node> message) {
      Node receiver = nodes.stream().filter(n -> n.name().equals(to)).findFirst().orElseThrow();
      if (!dead.contains(from) && !dead.contains(receiver) && random.nextDouble() >= loss) {
        messages.add(() -> message.accept(receiver));
      }
    }

    void deliver() {
      while (!messages.isEmpty()) {
        messages.remove().run();
      }
    }

    /** Lets so much time pass that all lookups end. */
    void settle() {
      deliver();
      for (int i = 0; i < 10; i++) {
        if (nodes.stream().noneMatch(node -> node.directory.hasLookups())) {
          return;
        }
        now = now.plus(TICK);
        nodes.forEach(node -> node.directory.checkLookups(now));
        deliver();
      }
    }
  }

  private static final class Node implements StreamOriginDirectory.Peers {
    private final Network network;
    private final int number;
    private StreamOriginDirectory directory;

    Node(Network network, int number) {
      this.network = network;
      this.number = number;
      restart();
    }

    void restart() {
      directory = new StreamOriginDirectory(() -> network.now, new NodeMetrics());
      directory.usePeers(this);
      directory.useLog(new SharedLog(network.log), new DecisionLog(() -> network.now));
    }

    String name() {
      return "n" + number;
    }

    String zone() {
      return "z" + number % 3;
    }

    /** Dead peers still count as live, since they have died only now. */
    @Override
    public Collection<HolderAssignment.Peer> live() {
      return network.nodes.stream()
          .filter(node -> node != this)
          .map(node -> new HolderAssignment.Peer(node.name(), node.zone()))
          .toList();
    }

    @Override
    public void tell(String attempt, StreamOrigin origin, List<String> names) {
      names.forEach(
          name -> network.send(this, name, peer -> peer.directory.onTold(name(), attempt, origin)));
    }

    @Override
    public void ask(String attempt, List<String> names) {
      names.forEach(name -> network.send(this, name, peer -> peer.answer(this, attempt)));
    }

    private void answer(Node asker, String attempt) {
      Optional<StreamOrigins.Known> known = directory.known(attempt);
      network.send(
          this,
          asker.name(),
          node -> {
            if (known.isPresent()) {
              node.directory.onTold(name(), attempt, known.get().origin());
            } else {
              node.directory.onUnknown(name(), attempt);
            }
          });
    }
  }

  /** One node's view of a log that outlives the nodes. */
  private static final class SharedLog implements StreamOriginLog {
    private final List<Map<String, StreamOrigin>> records;
    private int next;

    SharedLog(List<Map<String, StreamOrigin>> records) {
      this.records = records;
    }

    @Override
    public void append(Map<String, StreamOrigin> origins, Consumer<Boolean> done) {
      records.add(Map.copyOf(origins));
      done.accept(true);
    }

    @Override
    public void readNew(Consumer<Map<String, StreamOrigin>> done) {
      Map<String, StreamOrigin> origins = new HashMap<>();
      records.subList(next, records.size()).forEach(origins::putAll);
      next = records.size();
      done.accept(origins);
    }

    @Override
    public void onRestore(Runnable listener) {
      // This log is never restored.
    }
  }
}
