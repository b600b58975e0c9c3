package org.dragonflyhill.daemon;

import java.time.Duration;
import java.time.InstantSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.ports.Closer;
import org.dragonflyhill.ports.LogEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * A node of the serving system: its state, the HTTP server for callers and the admin API.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class Node implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(Node.class);
  private static final Duration STOP_LOG_INTERVAL = Duration.ofSeconds(1);
  private static final Duration NO_NEW_CONNECTIONS_PERIOD = Duration.ofMillis(250);
  private static final Duration MAX_NO_NEW_CONNECTIONS_WAIT = Duration.ofSeconds(3);
  private static final Duration LATE_REQUESTS_WAIT = Duration.ofMillis(300);
  private static final Duration FINAL_RESPONSES_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration STARTUP_POLL_INTERVAL = Duration.ofMillis(50);

  private final Closer closer = new Closer();
  private final DaemonSettings settings;
  private final InstantSource clock;
  private final DrainController drain = new DrainController();
  private final HttpFrontend frontend;
  private final AdminApi admin;
  private final NodeState state;

  /**
   * Creates and starts a node.
   *
   * @param settings valid settings
   * @param clock gives the current time
   */
  public Node(DaemonSettings settings, InstantSource clock) {
    this.settings = settings;
    this.clock = clock;
    NodeMetrics metrics = new NodeMetrics();
    NodePorts ports = NodePorts.open(settings, closer);
    state = new NodeState(settings, ports, metrics, clock, closer);
    state.start();
    DecisionJournal journal = new DecisionJournal();
    var chainFactory =
        new RequestChainFactory(settings, ports, state, metrics, drain, journal, clock);
    frontend = closer.add(new HttpFrontend(settings, chainFactory.create(), metrics, drain, clock));
    ClaimAdmin claimAdmin =
        new ClaimAdmin(
            state.claims(), ClaimAdmin.RemoteRunCheck.usingPeers(state.peers()), metrics, clock);
    admin = closer.add(new AdminApi(settings, state, claimAdmin, drain, journal, clock));
    markStartedWhenConfigured();
    LogEvent.of("node_started")
        .with("node", settings.node())
        .with("http_port", frontend.port())
        .with("admin_port", admin.port())
        .with("peer_port", state.peers().port())
        .info(LOGGER);
  }

  /** Returns the port for callers. */
  public int httpPort() {
    return frontend.port();
  }

  /** Returns the port for operators. */
  public int adminPort() {
    return admin.port();
  }

  /** Returns the port for other nodes. */
  public int peerPort() {
    return state.peers().port();
  }

  /**
   * Stops without aborting requests: reports that the node is not ready, gives the load balancer
   * time to react, refuses new requests, waits for the running ones, waits until callers open no
   * more connections, and closes. Requests that still run after the stop timeout get an error.
   *
   * @return whether all accepted requests ended before the stop timeout
   */
  public boolean stopGracefully() {
    drain.beginStop();
    logStopProgress("node_stopping");
    Mono.delay(settings.balancerDelay()).block();
    drain.refuseRequests();
    boolean isClean = awaitAcceptedRequests();
    if (!isClean) {
      logStopProgress("node_stop_timed_out");
      drain.abort();
    }
    frontend
        .whenNoNewConnections(NO_NEW_CONNECTIONS_PERIOD)
        .timeout(MAX_NO_NEW_CONNECTIONS_WAIT, Mono.empty())
        .block();
    frontend.stopListening();
    // Requests that were already sent still arrive on open connections and are refused.
    Mono.delay(LATE_REQUESTS_WAIT).block();
    drain.whenIdle().timeout(FINAL_RESPONSES_TIMEOUT, Mono.empty()).block();
    LogEvent.of("node_stopped")
        .with("node", settings.node())
        .with("clean", isClean)
        .with("requests", drain.requestCount())
        .info(LOGGER);
    close();
    return isClean;
  }

  private boolean awaitAcceptedRequests() {
    var logging =
        Flux.interval(STOP_LOG_INTERVAL).subscribe(tick -> logStopProgress("node_waiting"));
    try {
      return drain
          .whenAcceptedRequestsEnd()
          .thenReturn(true)
          .timeout(settings.stopTimeout(), Mono.just(false))
          .block();
    } finally {
      logging.dispose();
    }
  }

  private void logStopProgress(String event) {
    LogEvent.of(event)
        .with("node", settings.node())
        .with("running", drain.runningRequests())
        .with("oldest", drain.oldestRequests(clock.instant()))
        .info(LOGGER);
  }

  @Override
  public void close() {
    closer.close();
  }

  private void markStartedWhenConfigured() {
    var waiting =
        Flux.interval(STARTUP_POLL_INTERVAL)
            .filter(tick -> state.configuration().isUsable())
            .next()
            .subscribe(tick -> drain.markStarted());
    closer.add(waiting::dispose);
  }
}
