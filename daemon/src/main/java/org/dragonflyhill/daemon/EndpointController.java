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
 * Tracks which endpoints may get new requests, how many requests this node runs on them, and the
 * load that the runners report.
 *
 * <p>Thread-safe. Arguments must not be null.
 */
public final class EndpointController implements AutoCloseable {

  /** Age from which a load report is ignored. */
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
   * Creates a controller; {@link #start} starts the polling.
   *
   * @param configuredRunners returns the runners of the current configuration
   * @param hostList returns the latest host list, and the same object until a new one arrives
   * @param runners client for the runners
   * @param clock source of the current time
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

  /** Starts polling the load of the runners. */
  public synchronized void start() {
    polling =
        Flux.interval(Duration.ZERO, LOAD_POLL_INTERVAL)
            .onBackpressureDrop()
            .flatMap(tick -> pollAll(), MAX_CONCURRENT_ROUNDS)
            .subscribe();
  }

  /** Returns whether an endpoint may get a new request. */
  public synchronized boolean isUsable(
      String name, AdministrativeState administrativeState, Instant now) {
    if (administrativeState != AdministrativeState.ACTIVE) {
      return false;
    }
    updateLeavingHosts();
    return health.isUsable(name, inFlight.getOrDefault(name, 0), now);
  }

  /**
   * Returns how many requests this node may run concurrently on the runners of a model.
   *
   * <p>For each runner this is the node's equal share of the slots or the slots that the other
   * nodes leave free, whichever is more. The sum is raised by {@link #SLOT_OVERCOMMIT_FACTOR}, so
   * that a runner whose slot becomes free already has a request queued.
   *
   * @param model name of the model
   * @param liveNodes number of nodes that share the runners
   * @param now the current time
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

  /**
   * Returns whether the slots of a runner count. They also count while the runner recovers from
   * failures, because {@link #isUsable} limits its concurrent requests separately.
   */
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

  /** Returns the load that a runner last reported, or empty if there is no recent report. */
  public Optional<RunnerPort.Load> load(String runner) {
    return loadReport(runner).map(LoadReport::load);
  }

  /** Returns the last load report of a runner, or empty if there is no recent one. */
  synchronized Optional<LoadReport> loadReport(String runner) {
    Instant oldest = clock.instant().minus(MAX_LOAD_REPORT_AGE);
    return Optional.ofNullable(loadReports.get(runner))
        .filter(report -> report.receivedAt().isAfter(oldest));
  }

  /** Returns the number of requests that this node is running on an endpoint. */
  public synchronized int inFlight(String endpoint) {
    return inFlight.getOrDefault(endpoint, 0);
  }

  /** Records that a request was sent to an endpoint. */
  public synchronized void recordStart(String endpoint) {
    inFlight.merge(endpoint, 1, Integer::sum);
  }

  /** Records that a request on an endpoint ended. */
  public synchronized void recordEnd(String endpoint) {
    inFlight.computeIfPresent(endpoint, (name, count) -> count > 1 ? count - 1 : null);
  }

  /** Records a successful response of an endpoint. */
  public synchronized void recordSuccess(String endpoint) {
    health.recordSuccess(endpoint);
  }

  /** Records a failed request to an endpoint. */
  public synchronized void recordFailure(String endpoint, Instant now) {
    health.recordFailure(endpoint, now);
  }

  /** Records that the endpoint itself reported that it is leaving. */
  public synchronized void recordLeavingReport(String endpoint, Instant now) {
    health.recordLeavingReport(endpoint, now);
  }

  @Override
  public synchronized void close() {
    polling.dispose();
  }

  /**
   * Updates the leaving hosts if there is a new host list. The check avoids reading the list for
   * every call, because each placement asks whether each runner is usable.
   */
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

  /**
   * Polls a runner, unless an earlier poll of it is still pending. Rounds of polls overlap, so that
   * a slow runner does not delay the polls of others.
   */
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

  /** Logs an error and continues, because an error with one runner must not end all polling. */
  private static <T> Mono<T> logPollFailure(String runner, Throwable error) {
    LOGGER.error("polling the load of {} failed", runner, error);
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
   * A cached result of {@link #slots}.
   *
   * @param slots number of requests that this node may run concurrently
   * @param countedAt time of the count
   */
  private record SlotCount(int slots, Instant countedAt) {}

  /**
   * The load that a runner reported.
   *
   * @param load the load
   * @param receivedAt time at which the report arrived, by this node's clock
   */
  record LoadReport(RunnerPort.Load load, Instant receivedAt) {}
}
