package org.dragonflyhill.daemon;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Random;
import java.util.function.IntSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.core.ClaimWindow;
import org.dragonflyhill.core.ConfigurationObject.Model;
import org.dragonflyhill.core.ConfigurationObject.Runner;
import org.dragonflyhill.core.HedgeDelay;
import org.dragonflyhill.core.ObjectKind;
import org.dragonflyhill.core.PieceKeys;
import org.dragonflyhill.core.RetryBudget;
import org.dragonflyhill.peer.PeerHandler;
import org.dragonflyhill.platform.Closer;
import org.dragonflyhill.platform.HostListPort;
import org.dragonflyhill.platform.HttpCache;
import org.dragonflyhill.platform.HttpCaller;
import org.dragonflyhill.platform.HttpHostList;
import org.dragonflyhill.platform.HttpLog;
import org.dragonflyhill.platform.HttpOrder;
import org.dragonflyhill.platform.HttpRunner;
import org.dragonflyhill.platform.HttpService;
import org.dragonflyhill.platform.HttpStore;
import org.dragonflyhill.platform.LogEvent;
import org.dragonflyhill.platform.LogPort;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * One entry host's part of the system, put together from its settings.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class Node implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(Node.class);
  private static final int MAX_CONNECTIONS_PER_ENDPOINT = 500;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration SERVICE_TIMEOUT = Duration.ofSeconds(30);
  private static final String ORDER_RESOURCE = "orders";
  private static final Duration TELL_INTERVAL = Duration.ofSeconds(1);
  private static final Duration LAST_REQUESTS_TIME = Duration.ofMillis(300);
  private static final Duration LAST_ANSWERS_TIME = Duration.ofSeconds(5);
  private static final Duration STARTED_POLL = Duration.ofMillis(50);

  private final Closer closer = new Closer();
  private final DaemonSettings settings;
  private final InstantSource clock;
  private final DrainController drain = new DrainController();
  private final HttpFrontend frontend;
  private final AdminApi admin;
  private final PeerController peers;

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
    HttpCaller platformCaller =
        closer.add(new HttpCaller("platform", MAX_CONNECTIONS_PER_ENDPOINT, CONNECT_TIMEOUT));
    HttpCaller serviceCaller = closer.add(HttpCaller.withoutPool(CONNECT_TIMEOUT));
    HttpCaller endpointCaller =
        closer.add(new HttpCaller("endpoints", MAX_CONNECTIONS_PER_ENDPOINT, CONNECT_TIMEOUT));
    LogPort log = new HttpLog(platformCaller, settings.logAddress(), settings.platformTimeout());
    var hostList =
        new HttpHostList(platformCaller, settings.hostListAddress(), settings.platformTimeout());
    var runners = new HttpRunner(endpointCaller, settings.platformTimeout());
    var caches = new HttpCache(endpointCaller, settings.platformTimeout());

    var configuration = closer.add(new ConfigurationController(log, metrics, clock));
    var claims =
        closer.add(
            new ClaimController(
                log,
                settings.node(),
                ClaimWindow.DEFAULT,
                ClaimLimits.DEFAULT,
                settings.claimStepFault(),
                metrics,
                clock));
    var membership = closer.add(new MembershipController(hostList, metrics));
    var endpoints =
        closer.add(
            new EndpointController(
                () -> configuration.state().all(Runner.class), membership::hosts, runners, clock));
    var cache = closer.add(new CacheController(configuration, caches, metrics));

    var monotonicClock = new MonotonicClock();
    final var orderLease =
        closer.add(
            new LeaseController(
                log,
                membership,
                metrics,
                monotonicClock,
                ORDER_RESOURCE,
                settings.node(),
                OrderController.LEASE_DURATION));
    final var orders =
        closer.add(
            new OrderController(
                configuration,
                endpoints,
                orderLease,
                new HttpOrder(endpointCaller, settings.platformTimeout()),
                metrics,
                monotonicClock));
    peers =
        closer.add(
            new PeerController(
                settings,
                configuration,
                membership,
                PeerHandler.OutcomeSource.NONE,
                metrics,
                clock,
                new java.util.Random()));

    final var pieceKeys =
        new PieceKeys(
            settings.secret().getBytes(StandardCharsets.UTF_8), PieceKeys.DEFAULT_PIECE_TOKENS);
    var stores = new HttpStore(endpointCaller, settings.platformTimeout());
    final var storeIndex =
        closer.add(new StoreController(configuration, endpoints, stores, metrics, clock));
    final var sweeps =
        closer.add(
            new StoreSweepController(
                settings.node(),
                membership,
                storeIndex,
                stores,
                metrics,
                clock,
                new StoreSweepController.Settings(settings.readLease(), settings.sweepInterval())));
    final var links = new LinkController();
    final var exports =
        closer.add(new ExportController(storeIndex, sweeps, caches, stores, links, metrics, clock));
    final DecisionJournal journal = new DecisionJournal();
    final var random = new Random();
    final var placement =
        new PlacementController(
            configuration,
            endpoints,
            cache,
            storeIndex,
            exports,
            links,
            metrics,
            pieceKeys,
            random);
    final var completions =
        new CompletionHandler(
            configuration,
            new CompletionServices(
                endpoints,
                Placer.of(placement),
                runners,
                new RetryBudget(),
                new HedgeDelay(),
                metrics,
                journal,
                random,
                clock),
            new CompletionRelay());
    final var services =
        new ServiceHandler(
            configuration, endpoints, new HttpService(serviceCaller, SERVICE_TIMEOUT), clock);
    IntSupplier liveNodes = () -> Math.max(1, membership.live(HostListPort.Role.NODE).size());
    final var admission =
        closer.add(
            new AdmissionController(
                AdmissionFilter.LIMITS,
                (model, now) -> endpoints.slots(model, liveNodes.getAsInt(), now),
                metrics,
                clock));
    configuration.start();
    claims.start();
    membership.start();
    peers.start();
    configuration.startSnapshots(settings.snapshotPolicy(), peers::rank);
    endpoints.start();
    admission.start();
    cache.start();
    storeIndex.start();
    sweeps.start();
    exports.start();
    orderLease.start();
    orders.start();
    var claimRunner = new ClaimRunner(claims, settings.claimStepFault(), drain, clock);
    List<RequestFilter> filters =
        List.of(
            new AuthenticationFilter(configuration),
            new ClassificationFilter(configuration, clock),
            new JournalFilter(journal),
            new AdmissionFilter(
                admission,
                drain,
                model -> configuration.find(ObjectKind.MODEL, model, Model.class).isPresent(),
                liveNodes),
            new ClaimFilter(claims, claimRunner, clock));
    var chain = RequestFilter.chain(filters, new Dispatcher(completions, services));
    frontend = closer.add(new HttpFrontend(settings, chain, metrics, drain, clock));
    ClaimAdmin claimAdmin = new ClaimAdmin(claims, metrics, clock);
    admin =
        closer.add(new AdminApi(settings, configuration, claimAdmin, drain, journal, peers, clock));
    markStarted(configuration);
    LogEvent.of("node_started")
        .with("node", settings.node())
        .with("http_port", frontend.port())
        .with("admin_port", admin.port())
        .with("peer_port", peers.port())
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
    return peers.port();
  }

  /**
   * Stops without cutting a request: not ready, wait for the balancer, refuse new requests, finish
   * the running ones, close. Requests that outlast the longest stop get an error.
   *
   * @return whether all requests were finished
   */
  public boolean stopGracefully() {
    drain.stop();
    tell("node_stopping");
    Mono.delay(settings.balancerDelay()).block();
    drain.refuse();
    boolean isClean = finishRunning();
    if (!isClean) {
      tell("node_stop_timed_out");
      drain.abort();
    }
    frontend.stopListening();
    // Requests that were on their way still get their refusal.
    Mono.delay(LAST_REQUESTS_TIME).block();
    drain.whenIdle().timeout(LAST_ANSWERS_TIME, Mono.empty()).block();
    LogEvent.of("node_stopped").with("node", settings.node()).with("clean", isClean).info(LOGGER);
    close();
    return isClean;
  }

  private boolean finishRunning() {
    var telling = Flux.interval(TELL_INTERVAL).subscribe(tick -> tell("node_waiting"));
    try {
      return drain
          .whenServed()
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
        .with("oldest", drain.oldest(clock.instant()))
        .info(LOGGER);
  }

  @Override
  public void close() {
    closer.close();
  }

  private void markStarted(ConfigurationController configuration) {
    var waiting =
        Flux.interval(STARTED_POLL)
            .filter(tick -> configuration.isUsable())
            .next()
            .subscribe(tick -> drain.started());
    closer.add(waiting::dispose);
  }
}
