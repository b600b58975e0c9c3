package org.dragonflyhill.daemon;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.core.ConfigurationObject.AdministrativeState;
import org.dragonflyhill.core.ConfigurationObject.Runner;
import org.dragonflyhill.core.EndpointHealth;
import org.dragonflyhill.ports.HostListPort;
import org.dragonflyhill.ports.RunnerPort;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Knows which endpoints may get new work and how loaded they said they were.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class EndpointController implements AutoCloseable {

  /** Age from which a load report says nothing any more. */
  static final Duration MAX_LOAD_REPORT_AGE = Duration.ofSeconds(5);

  private static final Logger LOGGER = LogManager.getLogger(EndpointController.class);
  private static final Duration LOAD_POLL_INTERVAL = Duration.ofMillis(500);
  private static final Duration SLOT_COUNT_TTL = Duration.ofMillis(250);
  private static final double SLOT_OVERCOMMIT_FACTOR = 1.25;
  private static final int MAX_CONCURRENT_POLLS = 32;
  private static final int MAX_CONCURRENT_ROUNDS = 16;

  private final Supplier<List<Runner>> configuredRunners;
  private final Supplier<List<HostListPort.Host>> hostList;
  private final RunnerPort runners;
  private final InstantSource clock;
  private final EndpointHealth health = new EndpointHealth();
  private final Map<String, LoadReport> loadReports = new HashMap<>();
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final Map<String, SlotCount> slotCounts = new HashMap<>();
  private final Set<String> openPolls = ConcurrentHashMap.newKeySet();
  private List<HostListPort.Host> lastHostList = List.of();
  private Disposable polling = () -> {};

  /**
   * Creates a controller that does not poll yet.
   *
   * @param configuredRunners gives the runners of the configuration in force
   * @param hostList gives the last host list, the same object until a new one came
   * @param runners asks runners for their load
   * @param clock present time
   */
  public EndpointController(
      Supplier<List<Runner>> configuredRunners,
      Supplier<List<HostListPort.Host>> hostList,
      RunnerPort runners,
      InstantSource clock) {
    this.configuredRunners = configuredRunners;
    this.hostList = hostList;
    this.runners = runners;
    this.clock = clock;
  }

  /** Starts to poll the runners' load. */
  public synchronized void start() {
    polling =
        Flux.interval(Duration.ZERO, LOAD_POLL_INTERVAL)
            .onBackpressureDrop()
            .flatMap(tick -> pollAll(), MAX_CONCURRENT_ROUNDS)
            .subscribe();
  }

  /** Returns whether an endpoint may get new work. */
  public synchronized boolean isUsable(
      String name, AdministrativeState administrativeState, Instant now) {
    if (administrativeState != AdministrativeState.ACTIVE) {
      return false;
    }
    updateLeavingHosts();
    return health.isUsable(name, inFlight.getOrDefault(name, 0), now);
  }

  /**
   * Returns how many requests this node may run at once on the runners of a model: its part of
   * their slots or what the other nodes leave free, whichever is more, and a little on top so that
   * a runner need not wait for this node.
   *
   * @param model name of the model
   * @param liveNodes number of nodes that share the runners
   * @param now present time
   */
  public synchronized int slots(String model, int liveNodes, Instant now) {
    SlotCount cached = slotCounts.get(model);
    if (cached != null && now.isBefore(cached.countedAt().plus(SLOT_COUNT_TTL))) {
      return cached.slots();
    }
    int sum = 0;
    for (Runner runner : configuredRunners.get()) {
      if (runner.model().equals(model) && offersSlots(runner, now)) {
        sum += runnerSlots(runner, liveNodes);
      }
    }
    int slots = (int) Math.ceil(sum * SLOT_OVERCOMMIT_FACTOR);
    slotCounts.put(model, new SlotCount(slots, now));
    return slots;
  }

  /** Counts a runner under readmission as well: its own limit holds its requests back. */
  private boolean offersSlots(Runner runner, Instant now) {
    updateLeavingHosts();
    return runner.administrativeState() == AdministrativeState.ACTIVE
        && health.isUsable(runner.name(), 0, now);
  }

  private int runnerSlots(Runner runner, int liveNodes) {
    int ownInFlight = inFlight.getOrDefault(runner.name(), 0);
    int reported =
        load(runner.name()).map(load -> load.running() + load.queued()).orElse(ownInFlight);
    int usedByOthers = Math.max(0, reported - ownInFlight);
    int fairShare = (runner.slots() + liveNodes - 1) / liveNodes;
    return Math.max(fairShare, runner.slots() - usedByOthers);
  }

  /** Returns the load that a runner last told, unless that was too long ago. */
  public Optional<RunnerPort.Load> load(String runner) {
    return loadReport(runner).map(LoadReport::load);
  }

  /** Returns the last load report of a runner, unless it came too long ago. */
  synchronized Optional<LoadReport> loadReport(String runner) {
    Instant oldest = clock.instant().minus(MAX_LOAD_REPORT_AGE);
    return Optional.ofNullable(loadReports.get(runner))
        .filter(report -> report.receivedAt().isAfter(oldest));
  }

  /** Returns the number of requests that this node runs on an endpoint. */
  public synchronized int inFlight(String endpoint) {
    return inFlight.getOrDefault(endpoint, 0);
  }

  /** Notes that a request was sent to an endpoint. */
  public synchronized void recordStart(String endpoint) {
    inFlight.merge(endpoint, 1, Integer::sum);
  }

  /** Notes that a request on an endpoint ended. */
  public synchronized void recordEnd(String endpoint) {
    inFlight.computeIfPresent(endpoint, (name, count) -> count > 1 ? count - 1 : null);
  }

  /** Notes an answer of an endpoint. */
  public synchronized void recordSuccess(String endpoint) {
    health.recordSuccess(endpoint);
  }

  /** Notes a failure of an endpoint. */
  public synchronized void recordFailure(String endpoint, Instant now) {
    health.recordFailure(endpoint, now);
  }

  /** Notes that an endpoint itself said that it is leaving. */
  public synchronized void recordLeavingReport(String endpoint, Instant now) {
    health.recordLeavingReport(endpoint, now);
  }

  @Override
  public synchronized void close() {
    polling.dispose();
  }

  /** Reads the leaving hosts once for each new list, since each placement asks for all runners. */
  private void updateLeavingHosts() {
    List<HostListPort.Host> hosts = hostList.get();
    if (hosts == lastHostList) {
      return;
    }
    lastHostList = hosts;
    health.setLeaving(
        hosts.stream()
            .filter(host -> host.state() == HostListPort.State.LEAVING)
            .map(HostListPort.Host::name)
            .collect(Collectors.toSet()));
  }

  private Mono<Void> pollAll() {
    return Flux.fromIterable(configuredRunners.get())
        .flatMap(this::poll, MAX_CONCURRENT_POLLS)
        .then();
  }

  /** Asks a runner, unless an earlier question is open: a slow runner must not hold up others. */
  private Mono<Void> poll(Runner runner) {
    if (!openPolls.add(runner.name())) {
      return Mono.empty();
    }
    return runners
        .load(runner.address())
        .doOnNext(answer -> answer.peek(load -> recordLoad(runner.name(), load)))
        .onErrorResume(error -> logPollFailure(runner.name(), error))
        .doFinally(signal -> openPolls.remove(runner.name()))
        .then();
  }

  /** A fault with one runner must not end the polls of all. */
  private static <T> Mono<T> logPollFailure(String runner, Throwable error) {
    LOGGER.error("the load of {} was not taken", runner, error);
    return Mono.empty();
  }

  private synchronized void recordLoad(String runner, RunnerPort.Load load) {
    Instant now = clock.instant();
    loadReports.put(runner, new LoadReport(load, now));
    if (load.isLeaving()) {
      health.recordLeavingReport(runner, now);
    }
  }

  /**
   * Requests that may run on a model's runners.
   *
   * @param slots number of requests
   * @param countedAt when it was counted
   */
  private record SlotCount(int slots, Instant countedAt) {}

  /**
   * A runner's load as it arrived.
   *
   * @param load the load
   * @param receivedAt when it arrived, by this node's clock
   */
  record LoadReport(RunnerPort.Load load, Instant receivedAt) {}
}
