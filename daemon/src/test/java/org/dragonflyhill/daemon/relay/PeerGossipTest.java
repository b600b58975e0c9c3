package org.dragonflyhill.daemon.relay;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.dragonflyhill.core.relay.CrashSuspects;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.HolderAssignment;
import org.dragonflyhill.core.relay.PartChange;
import org.dragonflyhill.core.relay.PeerSchedule;
import org.dragonflyhill.core.relay.Runner;
import org.dragonflyhill.core.relay.RunnerInfo;
import org.dragonflyhill.core.relay.SharedRetryBudget;
import org.dragonflyhill.core.relay.StreamOrigin;
import org.dragonflyhill.core.relay.StreamOrigins;
import org.dragonflyhill.core.relay.WeightsDeadline;
import org.dragonflyhill.daemon.MonotonicClock;
import org.dragonflyhill.daemon.NodeMetrics;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what reaches the peers of a node. */
public final class PeerGossipTest {

  private static final int SUSPECTS = 32;
  private static final int CRASHES = 16;

  /** Number of runners whose load makes a report longer than 2,048 bytes. */
  private static final int RUNNERS = 300;

  /** One frame of the network for each report to the only peer. */
  private static final long MAX_REPORT_BYTES_PER_SECOND =
      1_400 * 1_000 / PeerSchedule.REPORTS.tick().toMillis();

  /** Bandwidth of the nodes' links, in bytes per second. */
  private static final int BANDWIDTH = 200_000;

  private static final Endpoint HOLDER = new Endpoint("10.0.0.1", 80);
  private static final int PART_CHANGES = 20_000;
  private static final int PARTS_AT_ONCE = 500;
  private static final Duration PAUSE_BETWEEN_PARTS = Duration.ofMillis(50);

  private static final Duration MEASURED_TIME = Duration.ofSeconds(3);

  private MultiThreadIoEventLoopGroup group;
  private EventLoop loop;
  private Node first;
  private Node second;

  private record Node(
      RelayState state, HolderAssignment assignment, PeerGossip gossip, Endpoint address) {}

  /** Starts two nodes that know each other. */
  @BeforeMethod
  public void start() throws Exception {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
    first = node("n1");
    second = node("n2");
    onLoop(
        () -> {
          first.gossip.addPeer("n2", second.address);
          second.gossip.addPeer("n1", first.address);
        });
  }

  private Node node(String name) throws IOException {
    var clock = new MonotonicClock();
    var state =
        new RelayState(
            name,
            "z1",
            new SharedRetryBudget.Limits(Duration.ofSeconds(10), 0.2, 52, 0.6),
            new WeightsDeadline(Duration.ofSeconds(6)),
            clock,
            new DecisionLog(clock),
            new NodeMetrics());
    var address = new Endpoint("127.0.0.1", freePort());
    var assignment = new HolderAssignment(name, "z1", state.now());
    state.traffic().useBandwidth(BANDWIDTH);
    var gossip = new PeerGossip(loop, address, name, "z1", 1, assignment, state);
    return new Node(state, assignment, gossip, address);
  }

  private static int freePort() throws IOException {
    try (var socket =
        new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
      return socket.getLocalPort();
    }
  }

  private void onLoop(Runnable task) throws InterruptedException, ExecutionException {
    loop.submit(task).get();
  }

  /** Stops the nodes. */
  @AfterMethod
  public void stop() throws InterruptedException {
    first.gossip.close();
    second.gossip.close();
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync();
  }

  /** A peer is told where a stream began, and can be asked for streams that it was not told of. */
  @Test
  public void peersTellWhereStreamsBegan() throws Exception {
    var origin = new StreamOrigin("s", "v1", "granja");
    await().until(() -> loop.submit(() -> !first.gossip.live().isEmpty()).get());
    await().until(() -> loop.submit(() -> !second.gossip.live().isEmpty()).get());
    onLoop(() -> first.state.streamOrigins().begin("told", origin));
    await()
        .until(
            () -> loop.submit(() -> second.state.streamOrigins().known("told")).get().isPresent());
    List<Optional<StreamOrigins.Known>> found = new CopyOnWriteArrayList<>();
    onLoop(
        () -> {
          first.state.streamOrigins().onTold("n3", "asked", origin);
          second.state.streamOrigins().find("asked", found::add);
          second.state.streamOrigins().find("never-begun", found::add);
        });
    await().until(() -> found.size() == 2);
    assertEquals(
        found.stream().flatMap(Optional::stream).map(StreamOrigins.Known::origin).toList(),
        List.of(origin));
  }

  /** Datagrams from the former address of a node are ignored until another node has the address. */
  @Test
  public void formerAddressOfPeerIsIgnored() throws Exception {
    await().until(() -> loop.submit(() -> !first.gossip.live().isEmpty()).get());
    Endpoint moved = new Endpoint("127.0.0.1", freePort());
    onLoop(() -> first.gossip.addPeer("n2", moved));
    await()
        .until(
            () ->
                loop.submit(() -> first.state.metrics().counterValue("peers.unknown_sender")).get()
                    > 0);
    onLoop(() -> first.gossip.addPeer("n3", second.address));
    long unknown = first.state.metrics().counterValue("peers.unknown_sender");
    onLoop(() -> second.state.streamOrigins().begin("told", new StreamOrigin("s", "v1", "o")));
    await()
        .until(
            () -> loop.submit(() -> first.state.streamOrigins().known("told")).get().isPresent());
    assertEquals(first.state.metrics().counterValue("peers.unknown_sender"), unknown);
  }

  /**
   * Guards against closes that reach runners late: after sixteen runners had ended together, the
   * reports of all nodes told of all suspects every time, which filled their links for ten seconds.
   */
  @Test
  public void reportsStayShortWhileMuchIsSuspect() throws Exception {
    onLoop(() -> recordCrashes(first.state.crashSuspects(), first.state.now()));
    long before = sentInReports();
    Thread.sleep(MEASURED_TIME.toMillis());
    long perSecond = (sentInReports() - before) * 1_000 / MEASURED_TIME.toMillis();
    assertTrue(perSecond <= MAX_REPORT_BYTES_PER_SECOND, perSecond + " bytes a second");
  }

  /**
   * Guards against closes that reach runners late: what nodes tell each other of the runners'
   * caches filled their links. Changes are sent within a share of the link, and none is lost for
   * good.
   */
  @Test
  public void partChangesKeepWithinShareOfLink() throws Exception {
    Instant start = Instant.now();
    for (int i = 0; i < PART_CHANGES; i += PARTS_AT_ONCE) {
      int from = i;
      onLoop(() -> recordParts(from, from + PARTS_AT_ONCE));
      Thread.sleep(PAUSE_BETWEEN_PARTS.toMillis());
    }
    long bytes = sent("peer_changes") + sent("peer_resends");
    long share = bytes * 1_000 / Duration.between(start, Instant.now()).toMillis();
    assertTrue(share <= BANDWIDTH * 2 / 5, share + " bytes a second");
    await()
        .atMost(Duration.ofSeconds(20))
        .until(
            () ->
                loop.submit(
                            () -> {
                              first.assignment.recordRead(HOLDER, first.state.now());
                              return knownParts(second.state);
                            })
                        .get()
                    == PART_CHANGES);
  }

  private void recordParts(int from, int to) {
    for (int i = from; i < to; i++) {
      first.state.recordPartChange(new PartChange.Stored(HOLDER, "salt", "part-" + i, 1));
    }
  }

  private static long knownParts(RelayState state) {
    return state.parts().totalTokens(HOLDER);
  }

  private long sent(String purpose) {
    return first.state.metrics().counterValue("traffic." + purpose + ".sent_bytes");
  }

  private long sentInReports() {
    return sent("peer_reports");
  }

  private static void recordCrashes(CrashSuspects suspects, Instant now) {
    for (int i = 0; i < SUSPECTS * CRASHES; i++) {
      String crash = "i-%010x@1790000000000".formatted(i / SUSPECTS);
      String name = "%032x".formatted(i % SUSPECTS);
      suspects.recordCrash(crash, List.of("model/" + name), now);
      suspects.recordRequestCrash(crash, CrashSuspects.requestKey(name), now, now);
    }
  }

  /**
   * A report with much to tell must arrive whole, since everything else in it is lost too. Netty's
   * buffer for datagrams holds 2,048 bytes by default.
   */
  @Test
  public void reportOfManyRunnersArrives() throws Exception {
    onLoop(
        () -> {
          for (int i = 0; i < RUNNERS; i++) {
            first.state.addOrUpdateRunner(runnerInfo(i));
            Runner runner = first.state.runners().find("i-" + i).orElseThrow();
            runner.requestSent(0, 1_000, 1_000, first.state.now());
          }
        });
    String last = "i-" + (RUNNERS - 1);
    await()
        .atMost(Duration.ofSeconds(5))
        .until(
            () ->
                loop.submit(() -> second.state.peers().running(last, second.state.now())).get()
                    == 1);
  }

  private static RunnerInfo runnerInfo(int i) {
    var endpoint = new Endpoint("10.0.1." + i % 250, 1_000 + i);
    return new RunnerInfo(
        "i-" + i, "s", endpoint, "z1", 8, false, Map.of(), Optional.of("v1"), 1_790_000_000_000L);
  }

  /** All suspects become known to the peers, though each report tells of a few only. */
  @Test
  public void allSuspectsArrive() throws Exception {
    onLoop(() -> recordCrashes(first.state.crashSuspects(), first.state.now()));
    String last = CrashSuspects.requestKey("%032x".formatted(SUSPECTS - 1));
    await()
        .atMost(Duration.ofSeconds(5))
        .until(() -> loop.submit(() -> second.state.crashSuspects().isSuspect(last)).get());
  }
}
