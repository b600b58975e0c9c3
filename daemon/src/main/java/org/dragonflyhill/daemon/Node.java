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
 * One entry host's part of the system, put together from its settings.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class Node implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(Node.class);
  private static final Duration TELL_INTERVAL = Duration.ofSeconds(1);
  private static final Duration QUIET_TIME = Duration.ofMillis(250);
  private static final Duration LONGEST_QUIET_WAIT = Duration.ofSeconds(3);
  private static final Duration LAST_REQUESTS_TIME = Duration.ofMillis(300);
  private static final Duration LAST_ANSWERS_TIME = Duration.ofSeconds(5);
  private static final Duration STARTED_POLL = Duration.ofMillis(50);

  private final Closer closer = new Closer();
  private final DaemonSettings settings;
  private final InstantSource clock;
  private final DrainController drain = new DrainController();
  private final HttpFrontend frontend;
  private final AdminApi admin;
  private final NodeState state;

  /**
   * Puts a node together and starts it.
   *
   * @param settings checked settings
   * @param clock gives the present time
   */
  public Node(DaemonSettings settings, InstantSource clock) {
    this.settings = settings;
    this.clock = clock;
    NodeMetrics metrics = new NodeMetrics();
    NodePorts ports = NodePorts.open(settings, closer);
    state = new NodeState(settings, ports, metrics, clock, closer);
    state.start();
    DecisionJournal journal = new DecisionJournal();
    var path = new RequestPath(settings, ports, state, metrics, drain, journal, clock);
    frontend = closer.add(new HttpFrontend(settings, path.chain(), metrics, drain, clock));
    ClaimAdmin claimAdmin =
        new ClaimAdmin(
            state.claims(), ClaimAdmin.RemoteRunCheck.usingPeers(state.peers()), metrics, clock);
    admin = closer.add(new AdminApi(settings, state, claimAdmin, drain, journal, clock));
    markStarted();
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
   * Stops without cutting a request: not ready, wait for the balancer, refuse new requests, finish
   * the running ones, wait until callers have turned elsewhere, close. Requests that outlast the
   * longest stop get an error.
   *
   * @return whether all requests were finished
   */
  public boolean stopGracefully() {
    drain.beginStop();
    tell("node_stopping");
    Mono.delay(settings.balancerDelay()).block();
    drain.refuseRequests();
    boolean isClean = finishRunning();
    if (!isClean) {
      tell("node_stop_timed_out");
      drain.abort();
    }
    frontend.whenQuiet(QUIET_TIME).timeout(LONGEST_QUIET_WAIT, Mono.empty()).block();
    frontend.stopListening();
    // Requests that were on their way still get their refusal.
    Mono.delay(LAST_REQUESTS_TIME).block();
    drain.whenIdle().timeout(LAST_ANSWERS_TIME, Mono.empty()).block();
    LogEvent.of("node_stopped")
        .with("node", settings.node())
        .with("clean", isClean)
        .with("requests", drain.requestCount())
        .info(LOGGER);
    close();
    return isClean;
  }

  private boolean finishRunning() {
    var telling = Flux.interval(TELL_INTERVAL).subscribe(tick -> tell("node_waiting"));
    try {
      return drain
          .whenAcceptedRequestsEnd()
          .thenReturn(true)
          .timeout(settings.stopTimeout(), Mono.just(false))
          .block();
    } finally {
      telling.dispose();
    }
  }

  private void tell(String event) {
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

  private void markStarted() {
    var waiting =
        Flux.interval(STARTED_POLL)
            .filter(tick -> state.configuration().isUsable())
            .next()
            .subscribe(tick -> drain.markStarted());
    closer.add(waiting::dispose);
  }
}
