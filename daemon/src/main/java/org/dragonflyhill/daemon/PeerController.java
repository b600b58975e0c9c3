package org.dragonflyhill.daemon;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.core.RendezvousHash;
import org.dragonflyhill.peer.PeerClient;
import org.dragonflyhill.peer.PeerError;
import org.dragonflyhill.peer.PeerHandler;
import org.dragonflyhill.peer.PeerMessage;
import org.dragonflyhill.peer.PeerSecret;
import org.dragonflyhill.peer.PeerServer;
import org.dragonflyhill.peer.PeerState;
import org.dragonflyhill.peer.PeerTable;
import org.dragonflyhill.peer.PeerTraffic;
import org.dragonflyhill.ports.HostListPort;
import org.dragonflyhill.ports.LogEvent;
import org.dragonflyhill.ports.SerializedState;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Exchanges heartbeats with a few peers at a time, and fetches the configuration from a peer that
 * has a newer one while this node cannot read the log.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class PeerController implements AutoCloseable, PeerHandler {

  private static final Logger LOGGER = LogManager.getLogger(PeerController.class);
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);
  private static final Duration FETCH_DELAY = Duration.ofSeconds(1);
  private static final int PEERS_PER_INTERVAL = 2;
  private static final int REPORTS_PER_HEARTBEAT = 8;

  private final String node;
  private final ConfigurationController configuration;
  private final MembershipController membership;
  private final NodeMetrics metrics;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final PeerHandler.OutcomeSource outcomeSource;
  private final PeerTraffic traffic = new PeerTraffic();
  private final PeerTable table = new PeerTable();
  private final PeerServer server;
  private final PeerClient client;
  private Optional<Instant> peerAheadSince = Optional.empty();
  private Polling heartbeatPolling = Polling.NONE;

  /**
   * Creates a controller that listens for peers but contacts none until {@link #start} is called.
   *
   * @param settings name, address and secret of this node
   * @param configuration the configuration to report to peers and to update from them
   * @param membership source of the live peers
   * @param outcomeSource source of the outcomes of non-repeatable requests on this node
   * @param metrics metrics of this node
   * @param clock clock for heartbeats
   * @param random source of randomness for the choice of peers
   */
  public PeerController(
      DaemonSettings settings,
      ConfigurationController configuration,
      MembershipController membership,
      PeerHandler.OutcomeSource outcomeSource,
      NodeMetrics metrics,
      InstantSource clock,
      RandomGenerator random) {
    this.node = settings.node();
    this.configuration = configuration;
    this.membership = membership;
    this.outcomeSource = outcomeSource;
    this.metrics = metrics;
    this.clock = clock;
    this.random = random;
    PeerSecret secret = new PeerSecret(settings.secret().getBytes(StandardCharsets.UTF_8));
    client = new PeerClient(node, secret, traffic, CALL_TIMEOUT);
    server = new PeerServer(settings.host(), settings.peerPort(), node, secret, this, traffic);
    metrics.registerGauge("peer.sent_bytes", traffic::sentBytes);
    metrics.registerGauge("peer.received_bytes", traffic::receivedBytes);
    metrics.registerGauge("peer.refused_connections", traffic::refusedConnections);
    metrics.registerGauge("peer.connections", server::connectionCount);
  }

  /** Starts sending heartbeats to peers. */
  public synchronized void start() {
    heartbeatPolling = Polling.every(HEARTBEAT_INTERVAL, "heartbeats", this::sendHeartbeats);
  }

  /** Returns the port on which this node accepts peers. */
  public int port() {
    return server.port();
  }

  /** Returns the number of bytes in the frames sent to other nodes. */
  public long sentBytes() {
    return traffic.sentBytes();
  }

  /** Returns the known state of each listed node, including this one. */
  public synchronized List<PeerTable.Entry> nodes() {
    table.recordHeartbeat(ownHeartbeat(clock.instant()), clock.instant());
    return table.entries();
  }

  /** Returns the rank of this node among the live nodes for a key, 0 for the first. */
  public int rank(String key) {
    Set<String> names = new HashSet<>(peerAddresses().keySet());
    names.add(node);
    return RendezvousHash.rank(key, names).indexOf(node);
  }

  /** Asks all live peers for the outcome of a non-repeatable request; the keys are node names. */
  public Mono<Map<String, PeerMessage.Outcome>> queryOutcomes(String organisation, String key) {
    return Flux.fromIterable(peerAddresses().entrySet())
        .flatMap(
            peer ->
                client
                    .fetchOutcome(peer.getValue(), organisation, key)
                    .map(answer -> Map.entry(peer.getKey(), answer)),
            PEERS_PER_INTERVAL)
        .filter(answer -> answer.getValue().isRight())
        .collectMap(Map.Entry::getKey, answer -> answer.getValue().get());
  }

  @Override
  public synchronized PeerMessage.Heartbeat handleHeartbeat(PeerMessage.Heartbeat received) {
    Instant now = clock.instant();
    table.recordHeartbeat(received, now);
    reportDivergence(received);
    return ownHeartbeat(now);
  }

  @Override
  public Optional<PeerState> stateAheadOf(long offset) {
    if (configuration.state().throughOffset() <= offset) {
      return Optional.empty();
    }
    SerializedState ownState = configuration.serializedState();
    byte[] bytes = ownState.text().getBytes(StandardCharsets.UTF_8);
    return Optional.of(
        new PeerState(ownState.schema(), ownState.through(), ownState.digest(), bytes));
  }

  @Override
  public PeerMessage.Outcome outcome(String organisation, String idempotencyKey) {
    return outcomeSource.outcome(organisation, idempotencyKey);
  }

  @Override
  public synchronized void close() {
    heartbeatPolling.close();
    server.close();
  }

  private Map<String, String> peerAddresses() {
    Map<String, String> addresses = new HashMap<>();
    for (HostListPort.Host host : membership.liveHosts(HostListPort.Role.NODE)) {
      addresses.put(host.name(), host.address());
    }
    addresses.remove(node);
    return addresses;
  }

  private Mono<Void> sendHeartbeats() {
    Map<String, String> peers = peerAddresses();
    PeerMessage.Heartbeat heartbeat;
    List<String> chosen;
    synchronized (this) {
      Set<String> listed = new HashSet<>(peers.keySet());
      listed.add(node);
      table.retain(listed);
      heartbeat = ownHeartbeat(clock.instant());
      chosen = PeerTable.sample(peers.values(), PEERS_PER_INTERVAL, random);
    }
    return Flux.fromIterable(chosen).flatMap(address -> sendHeartbeat(address, heartbeat)).then();
  }

  private Mono<Void> sendHeartbeat(String address, PeerMessage.Heartbeat heartbeat) {
    return client
        .exchangeHeartbeats(address, heartbeat)
        .flatMap(
            answer -> {
              if (answer.isLeft()) {
                countFailure(answer.getLeft());
                return Mono.<Void>empty();
              }
              return shouldFetchState(answer.get()) ? fetchState(address) : Mono.<Void>empty();
            });
  }

  private synchronized boolean shouldFetchState(PeerMessage.Heartbeat received) {
    Instant now = clock.instant();
    table.recordHeartbeat(received, now);
    reportDivergence(received);
    if (received.offset() <= configuration.state().throughOffset()) {
      peerAheadSince = Optional.empty();
      return false;
    }
    // Peers are briefly ahead after each change. If one stays ahead for longer, this node can
    // probably no longer read the log.
    Instant since = peerAheadSince.orElse(now);
    peerAheadSince = Optional.of(since);
    return configuration.shouldAskPeers() || !since.plus(FETCH_DELAY).isAfter(now);
  }

  private Mono<Void> fetchState(String address) {
    return client
        .fetchStateAheadOf(address, configuration.state().throughOffset())
        .doOnNext(answer -> answer.peek(state -> state.ifPresent(this::adopt)))
        .doOnNext(answer -> answer.peekLeft(this::countFailure))
        .then();
  }

  private void adopt(PeerState state) {
    String text = new String(state.content(), StandardCharsets.UTF_8);
    configuration.adopt(
        new SerializedState(state.schema(), state.throughOffset(), text, state.digest()));
  }

  private void reportDivergence(PeerMessage.Heartbeat received) {
    SerializedState ownState = configuration.serializedState();
    boolean isSameOffset = received.offset() == ownState.through();
    if (isSameOffset
        && received.schema() == PeerMessage.SCHEMA
        && !received.digest().equals(ownState.digest())) {
      metrics.count("configuration.divergent_peers");
      LogEvent.of("configuration_divergent")
          .with("peer", received.node())
          .with("offset", received.offset())
          .warn(LOGGER);
    }
  }

  private synchronized PeerMessage.Heartbeat ownHeartbeat(Instant now) {
    SerializedState ownState = configuration.serializedState();
    return new PeerMessage.Heartbeat(
        PeerMessage.SCHEMA,
        node,
        ownState.through(),
        configuration.state().version(),
        ownState.digest(),
        table.sampleReports(REPORTS_PER_HEARTBEAT, random, now));
  }

  private void countFailure(PeerError error) {
    metrics.count(
        switch (error) {
          case PeerError.Unreachable unreachable -> "peer.failed.unreachable";
          case PeerError.NotAuthenticated wrong -> "peer.failed.not_authenticated";
          case PeerError.Malformed malformed -> "peer.failed.malformed";
        });
  }
}
