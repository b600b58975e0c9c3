package org.dragonflyhill.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.awaitility.Awaitility;
import org.dragonflyhill.core.ChangeRecord;
import org.dragonflyhill.core.ConfigurationFold;
import org.dragonflyhill.core.ConfigurationObject;
import org.dragonflyhill.core.ConfigurationState;
import org.dragonflyhill.peer.PeerHandler;
import org.dragonflyhill.ports.Closer;
import org.dragonflyhill.ports.HostListPort;
import org.dragonflyhill.ports.LogPort;
import org.dragonflyhill.ports.PlatformError;
import org.dragonflyhill.ports.SerializedState;
import org.dragonflyhill.ports.SettingValues;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;

/** Tests of {@link PeerController} with nodes that cannot reach the log. */
public final class PeerControllerTest {

  private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(15);
  private static final int BUDGET_BYTES_PER_SECOND = 3_000;
  private static final long MEASURED_SECONDS = 5;

  private final List<TestNode> nodes = new CopyOnWriteArrayList<>();
  private Closer closer;

  /** Removes the nodes of the previous test. */
  @BeforeMethod
  public void start() {
    closer = new Closer();
    nodes.clear();
  }

  /** Closes all nodes. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    closer.close();
  }

  private void startNodes(int count) {
    for (int i = 0; i < count; i++) {
      nodes.add(closer.add(new TestNode("node-" + i, "one secret for all", i)));
    }
    nodes.forEach(TestNode::start);
  }

  private static ConfigurationState state(int changes) {
    ConfigurationState state = ConfigurationState.empty();
    for (int i = 0; i < changes; i++) {
      var zone = new ConfigurationObject.AvailabilityZone("zone-" + i, "region");
      var change = new ChangeRecord("c-" + i, "ana", List.of(), List.of(zone), List.of());
      state = ConfigurationFold.apply(state, i, change);
    }
    return state;
  }

  private void awaitVersion(long version) {
    Awaitility.await()
        .atMost(CONVERGENCE_TIMEOUT)
        .until(() -> nodes.stream().allMatch(node -> node.version() == version));
  }

  @Test
  public void adoptsNewestConfigurationFromPeersWhileLogIsDown() {
    startNodes(4);
    nodes.get(1).configuration.adopt(SerializedState.of(state(3)));
    nodes.get(2).configuration.adopt(SerializedState.of(state(5)));
    awaitVersion(4);
  }

  @Test
  public void ignoresNodeWithAnotherSecret() {
    startNodes(2);
    TestNode otherSecretNode = closer.add(new TestNode("node-9", "another secret for it", 9));
    nodes.add(otherSecretNode);
    otherSecretNode.start();
    otherSecretNode.configuration.adopt(SerializedState.of(state(5)));
    Awaitility.await()
        .atMost(CONVERGENCE_TIMEOUT)
        .until(() -> nodes.getFirst().metrics.counterValue("peer.failed.unreachable") > 0);
    assertEquals(nodes.getFirst().version(), ConfigurationState.ABSENT_OFFSET);
  }

  @Test
  public void knowsEveryNodeAndItsVersion() {
    startNodes(12);
    nodes.getFirst().configuration.adopt(SerializedState.of(state(2)));
    Awaitility.await()
        .atMost(CONVERGENCE_TIMEOUT)
        .until(
            () ->
                nodes.getLast().peers.nodes().stream().filter(n -> n.version() == 1).count()
                    == nodes.size());
  }

  @Test
  public void heartbeatTrafficStaysWithinBudget() throws InterruptedException {
    for (int count : List.of(2, 4, 8, 16, 32)) {
      start();
      startNodes(count);
      nodes.getFirst().configuration.adopt(SerializedState.of(state(2)));
      awaitVersion(1);
      long before = sentBytes();
      Thread.sleep(Duration.ofSeconds(MEASURED_SECONDS));
      long perNode = (sentBytes() - before) / count / MEASURED_SECONDS;
      System.out.printf("MEASURE %d nodes: %d bytes/s sent per node%n", count, perNode);
      assertTrue(perNode < BUDGET_BYTES_PER_SECOND, perNode + " bytes/s");
      stop();
    }
  }

  private long sentBytes() {
    return nodes.stream().mapToLong(node -> node.peers.sentBytes()).sum();
  }

  private final class TestNode implements AutoCloseable {

    private final NodeMetrics metrics = new NodeMetrics();
    private final ConfigurationController configuration =
        new ConfigurationController(new UnavailableLog(), metrics, InstantSource.system());
    private final MembershipController membership =
        new MembershipController(() -> Mono.fromSupplier(() -> Either.right(hosts())), metrics);
    private final String name;
    private final PeerController peers;

    TestNode(String name, String secret, long seed) {
      this.name = name;
      peers =
          new PeerController(
              settings(name, secret),
              configuration,
              membership,
              PeerHandler.OutcomeSource.NONE,
              metrics,
              InstantSource.system(),
              new Random(seed));
    }

    void start() {
      configuration.start();
      membership.start();
      peers.start();
    }

    long version() {
      return configuration.state().version();
    }

    HostListPort.Host host() {
      return new HostListPort.Host(
          name, HostListPort.Role.NODE, "127.0.0.1:" + peers.port(), HostListPort.State.LIVE);
    }

    @Override
    public void close() {
      peers.close();
      membership.close();
      configuration.close();
    }
  }

  private List<HostListPort.Host> hosts() {
    return nodes.stream().map(TestNode::host).toList();
  }

  private static DaemonSettings settings(String name, String secret) {
    String[] flags = {
      "--node=" + name,
      "--zone=rancagua",
      "--http-port=0",
      "--admin-port=0",
      "--peer-port=0",
      "--log=127.0.0.1:10",
      "--host-list=127.0.0.1:10",
      "--secret=" + secret,
      "--platform-timeout-millis=1000"
    };
    SettingValues values = SettingValues.read(DaemonSettings.SPECS, flags, Map.of());
    DaemonSettings settings = DaemonSettings.from(values);
    assertEquals(values.errors(), List.of());
    return settings;
  }

  private static final class UnavailableLog implements LogPort {
    @Override
    public Mono<Either<PlatformError, Long>> append(String stream, List<String> records) {
      return Mono.just(Either.left(new PlatformError.NotSent("down")));
    }

    @Override
    public Mono<Either<PlatformError, Page>> read(
        String stream, long fromOffset, int limit, Duration wait) {
      return Mono.just(Either.left(new PlatformError.NotSent("down")));
    }
  }
}
