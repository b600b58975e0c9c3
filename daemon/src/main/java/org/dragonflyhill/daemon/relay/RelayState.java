package org.dragonflyhill.daemon.relay;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.Organisation;
import org.dragonflyhill.core.relay.PartDirectory;
import org.dragonflyhill.core.relay.PartPlacement;
import org.dragonflyhill.core.relay.PeerReport;
import org.dragonflyhill.core.relay.PeerTable;
import org.dragonflyhill.core.relay.Prompt;
import org.dragonflyhill.core.relay.RelayConfiguration;
import org.dragonflyhill.core.relay.Runner;
import org.dragonflyhill.core.relay.RunnerInfo;
import org.dragonflyhill.core.relay.RunnerSelector;
import org.dragonflyhill.core.relay.RunnerTable;
import org.dragonflyhill.core.relay.Service;
import org.dragonflyhill.core.relay.SharedRetryBudget;
import org.dragonflyhill.core.relay.WeightsInUse;
import org.dragonflyhill.daemon.NodeMetrics;

/** What a relaying node knows: the configuration in force, runners, weights and kept parts. */
public final class RelayState {

  /** Least number of nodes that are taken to share a budget; others may not be known yet. */
  public static final int MIN_NODES = 4;

  private final InstantSource clock;
  private final DecisionLog log;
  private final NodeMetrics metrics;
  private SharedRetryBudget.Limits retryLimits;
  private final RunnerTable runners = new RunnerTable();
  private final PartDirectory parts = new PartDirectory();
  private final PeerTable peers = new PeerTable();
  private final PartPlacement keepPlan = new PartPlacement(parts);
  private final RunnerSelector choice;
  private final Map<String, SharedRetryBudget> retryBudgets = new HashMap<>();
  private final Map<String, Long> newestWeights = new HashMap<>();
  private Optional<RelayConfiguration> configuration = Optional.empty();
  private boolean isStopping;
  private boolean isLogReachable;
  private long runnerClockOffsetMillis = Long.MIN_VALUE;

  /** Creates a state that knows nothing yet. */
  public RelayState(
      String zone,
      SharedRetryBudget.Limits retryLimits,
      InstantSource clock,
      DecisionLog log,
      NodeMetrics metrics) {
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.retryLimits = retryLimits;
    choice = new RunnerSelector(parts, peers, zone);
  }

  /** Returns the present time of the node's steady clock. */
  public Instant now() {
    return clock.instant();
  }

  /** Returns the log of decisions. */
  public DecisionLog log() {
    return log;
  }

  /** Returns counters and timers. */
  public NodeMetrics metrics() {
    return metrics;
  }

  /** Returns the runners that the host list names. */
  public RunnerTable runners() {
    return runners;
  }

  /** Returns which parts are kept where. */
  public PartDirectory parts() {
    return parts;
  }

  /** Returns what other nodes tell. */
  public PeerTable peers() {
    return peers;
  }

  /** Notes a report of another node. */
  public void recordPeerReport(PeerReport report) {
    peers.update(report, now());
    report
        .weightVersions()
        .forEach(
            (id, version) ->
                runners
                    .find(id)
                    .ifPresent(runner -> runner.observeSingleModelWeightVersion(version)));
  }

  /** Returns whether the log service is in reach. */
  public boolean isLogReachable() {
    return isLogReachable;
  }

  /** Notes whether the log service is in reach. */
  public void setLogReachable(boolean isReachable) {
    isLogReachable = isReachable;
  }

  /** Notes the time on the runners' clock, as it was a moment ago. */
  public void recordRunnerClock(long millis) {
    runnerClockOffsetMillis = Math.max(runnerClockOffsetMillis, millis - now().toEpochMilli());
  }

  /** Returns the present time on the runners' clock, empty if it was never told. */
  OptionalLong runnerClockMillis() {
    return runnerClockOffsetMillis == Long.MIN_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(now().toEpochMilli() + runnerClockOffsetMillis);
  }

  /** Returns where the parts of a prompt are to be saved. */
  List<Optional<Endpoint>> saveTargets(String salt, List<Prompt.Part> shared) {
    List<Service.Store> stores = usableStores();
    return stores.isEmpty() ? List.of() : keepPlan.saveTargets(salt, shared, stores, now());
  }

  /** Returns the stores that drop nothing on their own and tell of their changes. */
  List<Service.Store> managedStores() {
    return usableStores().stream().filter(Service.Store::isManaged).toList();
  }

  /** Returns some of the parts that a store keeps for weights that no runner has any more. */
  List<PartDirectory.Key> partsOfReplacedWeights(Endpoint store, WeightsInUse inUse, int limit) {
    return parts.partsWithSalt(store, salt -> isReplaced(salt, inUse)).stream()
        .limit(limit)
        .toList();
  }

  private boolean isReplaced(String salt, WeightsInUse inUse) {
    for (String model : newestWeights.keySet()) {
      String prefix = model + "@";
      if (salt.startsWith(prefix)) {
        String version = salt.substring(prefix.length()).split("#", 2)[0];
        return inUse.isReplaced(model, Long.parseLong(version), now());
      }
    }
    return false;
  }

  private List<Service.Store> usableStores() {
    return configuration.map(RelayConfiguration::stores).orElse(List.of()).stream()
        .filter(store -> parts.isFresh(store.endpoint(), now()))
        .toList();
  }

  RunnerSelector choice() {
    return choice;
  }

  /** Returns the configuration in force. */
  public Optional<RelayConfiguration> configuration() {
    return configuration;
  }

  /** Puts a configuration in force unless it is older than the present one. */
  public void applyConfiguration(RelayConfiguration newer) {
    long known = configuration.map(RelayConfiguration::version).orElse(-1L);
    if (newer.version() <= known) {
      return;
    }
    configuration = Optional.of(newer);
    log.info(
        "configuration_in_force",
        event -> event.with("version", newer.version()).with("before", known));
  }

  /** Notes the newest weight version that was named for a model. */
  public void recordNewestWeights(String model, long version) {
    long known = newestWeights.getOrDefault(model, 0L);
    if (version > known) {
      newestWeights.put(model, version);
      log.info(
          "weights_named",
          event -> event.with("model", model).with("version", version).with("before", known));
    }
  }

  /** Returns the newest weight version of each model that was named. */
  public Map<String, Long> newestWeights() {
    return newestWeights;
  }

  /** Adds a runner or brings its entry up to date. */
  public void addOrUpdateRunner(RunnerInfo info) {
    boolean wasOpen = runners.find(info.id()).map(Runner::isAvailable).orElse(false);
    boolean isNew = runners.put(info, now());
    if (isNew) {
      parts.forget(info.endpoint());
    }
    if (isNew || wasOpen == info.isDraining()) {
      log.info(
          isNew ? "runner_listed" : "runner_changed",
          event ->
              event
                  .with("runner", info.id())
                  .with("service", info.service())
                  .with("endpoint", info.endpoint())
                  .with("draining", info.isDraining())
                  .with("weights", info.weightVersions()));
    }
  }

  /** Drops runners that the list named no more. */
  public void onRunnersRemoved(List<String> ids) {
    keepPlan.expirePending(now());
    ids.forEach(id -> log.info("runner_gone", event -> event.with("runner", id)));
  }

  /** Notes that the budget for repeats has another size now. */
  public void setRetryLimits(SharedRetryBudget.Limits limits) {
    if (!limits.equals(retryLimits)) {
      retryLimits = limits;
      retryBudgets.clear();
    }
  }

  /** Returns the retry budget of a service. */
  SharedRetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(service, any -> new SharedRetryBudget(retryLimits));
  }

  /** Returns the number of nodes that share the runners. */
  public int nodeCount() {
    return Math.max(MIN_NODES, peers.nodeCount(now()));
  }

  /** Returns all that parts may be fetched from for a service. */
  List<RunnerSelector.Source> fetchSources(String service, Service.Engine engine) {
    List<RunnerSelector.Source> sources = new ArrayList<>();
    for (Runner runner : runners.all()) {
      if (runner.info().service().equals(service)
          && parts.isFresh(runner.info().endpoint(), now())) {
        sources.add(
            new RunnerSelector.Source(
                runner.info().endpoint(),
                runner.info().zone(),
                engine.linkBytesPerSecond(),
                false));
      }
    }
    for (Service.Store store : usableStores()) {
      sources.add(
          new RunnerSelector.Source(
              store.endpoint(), store.zone(), store.linkBytesPerSecond(), store.isManaged()));
    }
    return sources;
  }

  /**
   * Returns whether a runner seems out of reach: requests wait, nothing comes, and where it tells
   * of its cache, it no longer does. A runner that is only slow still tells.
   */
  boolean isSilent(Runner runner, boolean reportsCache) {
    return runner.isSilent(now())
        && !(reportsCache && parts.isFresh(runner.info().endpoint(), now()));
  }

  /** Returns the runners of a service that may get a request, without those just out of reach. */
  List<Runner> reachable(String service) {
    List<Runner> open = runners.availableRunners(service);
    List<Runner> reachable = open.stream().filter(runner -> !runner.isEjected()).toList();
    return reachable.isEmpty() ? open : reachable;
  }

  /** Names the salt under which cache of a model and version is kept for an organisation. */
  public static String salt(String model, long version, Optional<Organisation> organisation) {
    String isolationSuffix =
        organisation
            .filter(Organisation::isIsolated)
            .map(isolated -> "#" + isolated.name())
            .orElse("");
    return model + "@" + version + isolationSuffix;
  }

  /** Returns whether the node is ready for new connections. */
  public boolean isReady() {
    return configuration.isPresent() && !isStopping;
  }

  /** Returns whether the node is being stopped. */
  public boolean isStopping() {
    return isStopping;
  }

  /** Notes that the node is being stopped. */
  public void markStopping() {
    isStopping = true;
  }
}
