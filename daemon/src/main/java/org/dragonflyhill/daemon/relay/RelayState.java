package org.dragonflyhill.daemon.relay;

import static java.util.stream.Collectors.toSet;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import org.dragonflyhill.core.relay.CacheSalt;
import org.dragonflyhill.core.relay.CrashSuspects;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.ForwardTargets;
import org.dragonflyhill.core.relay.HedgePolicy;
import org.dragonflyhill.core.relay.PartChange;
import org.dragonflyhill.core.relay.PartChangeLog;
import org.dragonflyhill.core.relay.PartDirectory;
import org.dragonflyhill.core.relay.PartPlacement;
import org.dragonflyhill.core.relay.PeerReport;
import org.dragonflyhill.core.relay.PeerTable;
import org.dragonflyhill.core.relay.Prompt;
import org.dragonflyhill.core.relay.RateLimitForecast;
import org.dragonflyhill.core.relay.RateLimitReport;
import org.dragonflyhill.core.relay.RateLimitShares;
import org.dragonflyhill.core.relay.RelayConfiguration;
import org.dragonflyhill.core.relay.Route;
import org.dragonflyhill.core.relay.Runner;
import org.dragonflyhill.core.relay.RunnerInfo;
import org.dragonflyhill.core.relay.RunnerRateLimit;
import org.dragonflyhill.core.relay.RunnerSelector;
import org.dragonflyhill.core.relay.RunnerTable;
import org.dragonflyhill.core.relay.Service;
import org.dragonflyhill.core.relay.ServiceReach;
import org.dragonflyhill.core.relay.SharedRetryBudget;
import org.dragonflyhill.core.relay.WeightsDeadline;
import org.dragonflyhill.core.relay.WeightsInUse;
import org.dragonflyhill.daemon.NodeMetrics;

/**
 * State that the relay's components share: the configuration in force, the known runners and their
 * load, the newest weight versions, and where prompt parts are cached.
 */
public final class RelayState {

  /**
   * Minimum number of nodes that are assumed to share a retry budget, since some of the others may
   * not be known yet.
   */
  public static final int MIN_NODES = 4;

  /** Maximum random extension of the time for which a runner wants no requests, as a fraction. */
  private static final double MAX_BACKOFF_JITTER = 0.2;

  private final String node;
  private final InstantSource clock;
  private final DecisionLog log;
  private final NodeMetrics metrics;
  private SharedRetryBudget.Limits retryLimits;
  private final RunnerTable runners = new RunnerTable();
  private final PartDirectory parts = new PartDirectory();
  private final PartChangeLog partChanges = new PartChangeLog();
  private final SharedTopics sharedTopics = new SharedTopics();
  private final PeerTable peers = new PeerTable();
  private final PartPlacement partPlacement = new PartPlacement(parts);
  private final RunnerSelector runnerSelector;
  private final FirstTokenErrors firstTokenErrors;
  private final Map<String, SharedRetryBudget> retryBudgets = new HashMap<>();
  private final WeightsTracker weights;
  private final CrashSuspects crashSuspects = new CrashSuspects();
  private final StreamOriginDirectory streamOrigins;
  private final Map<String, ServiceReach> reachByService = new HashMap<>();
  private final ForwardTargets forwardTargets = new ForwardTargets();
  private final ColdRunners coldRunners;
  private final LinkTraffic traffic;
  private Optional<HedgePolicy> hedgePolicy = Optional.empty();
  private Optional<RelayConfiguration> configuration = Optional.empty();

  /** Age up to which the caller of any route may take up a stream. */
  private Duration maxStreamAge = Duration.ZERO;

  private boolean isStopping;
  private boolean isLogReachable;
  private boolean needsOwnReads;
  private long runnerClockOffsetMillis = Long.MIN_VALUE;

  /**
   * Creates a state without configuration and runners.
   *
   * @param node name of this node, by which its peers know it
   * @param zone availability zone of this node
   * @param retryLimits limits of the retry budget that all nodes share
   * @param weightsDeadline when requests must no longer begin on replaced weights
   * @param clock monotonic clock of the node
   * @param log log for decisions and state changes
   * @param metrics metrics of the node
   */
  public RelayState(
      String node,
      String zone,
      SharedRetryBudget.Limits retryLimits,
      WeightsDeadline weightsDeadline,
      InstantSource clock,
      DecisionLog log,
      NodeMetrics metrics) {
    this.node = node;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.retryLimits = retryLimits;
    weights = new WeightsTracker(weightsDeadline, clock, log, metrics);
    streamOrigins = new StreamOriginDirectory(clock, metrics);
    coldRunners = new ColdRunners(node, runners, this::coldStart, clock, log, metrics);
    firstTokenErrors = new FirstTokenErrors(metrics);
    traffic = new LinkTraffic(metrics, log, now());
    runnerSelector = new RunnerSelector(parts, peers, weights.announced(), weightsDeadline, zone);
  }

  /** Returns the current time of the node's monotonic clock. */
  public Instant now() {
    return clock.instant();
  }

  /** Returns the log for decisions and state changes. */
  public DecisionLog log() {
    return log;
  }

  /** Returns the metrics of this node. */
  public NodeMetrics metrics() {
    return metrics;
  }

  /** Returns the traffic on the network link of this node. */
  public LinkTraffic traffic() {
    return traffic;
  }

  /** Returns the runners that the host list contains. */
  public RunnerTable runners() {
    return runners;
  }

  /** Returns the tracker of cold runners and of this node's shares of their requests. */
  public ColdRunners coldRunners() {
    return coldRunners;
  }

  private Optional<Service.ColdStart> coldStart(String service) {
    return configuration.flatMap(known -> known.pool(service)).flatMap(Service.Pool::coldStart);
  }

  /** Stops sending new requests to the runners of an availability zone. */
  public void beginEvacuation(String zone) {
    if (runners.evacuations().begin(zone)) {
      metrics.count("relay.evacuations");
      log.info(
          "evacuation_begun", event -> event.with("zone", zone).with("running", runningIn(zone)));
    }
  }

  /** Sends requests to the runners of an availability zone again. */
  public void endEvacuation(String zone) {
    if (runners.evacuations().end(zone)) {
      coldRunners.onEvacuationEnded(zone);
      log.info(
          "evacuation_ended", event -> event.with("zone", zone).with("running", runningIn(zone)));
    }
  }

  /** Returns the number of requests of this node that run in an availability zone. */
  private int runningIn(String zone) {
    return runners.all().stream()
        .filter(runner -> runner.info().zone().equals(zone))
        .mapToInt(Runner::running)
        .sum();
  }

  /** Returns the directory of cached prompt parts. */
  public PartDirectory parts() {
    return parts;
  }

  /** Records a change that this node has read from a runner or store, also for its peers. */
  public void recordPartChange(PartChange change) {
    parts.apply(change, now());
    partChanges.append(change);
  }

  /** Records that a runner was sent a request with these parts, also for the peers. */
  void expectParts(Endpoint runner, String salt, List<Prompt.Part> shared) {
    parts.expect(runner, salt, shared, now()).forEach(partChanges::append);
  }

  /** Returns the topics of the log service that nodes read for each other. */
  public SharedTopics sharedTopics() {
    return sharedTopics;
  }

  /** Returns the latest changes that this node has read. */
  PartChangeLog partChanges() {
    return partChanges;
  }

  /** Returns the load that the other nodes report. */
  public PeerTable peers() {
    return peers;
  }

  /** Records a report of another node, and the weight versions that it has seen. */
  public void recordPeerReport(PeerReport report) {
    final boolean isNewest = peers.update(report, now());
    report
        .drainingRunners()
        .forEach(
            (id, startedAtMillis) ->
                runners
                    .find(id)
                    .filter(runner -> runner.info().startedAtMillis() == startedAtMillis)
                    .ifPresent(runner -> markDraining(runner, "node " + report.node())));
    report
        .weightVersions()
        .forEach(
            (id, version) ->
                runners
                    .find(id)
                    .ifPresent(runner -> weights.observeReported(runner, version, report.node())));
    report
        .announcedWeights()
        .forEach(
            (model, versions) ->
                versions.forEach(
                    (version, age) ->
                        weights.announceReported(model, version, age, report.node())));
    report.runnerClockMillis().ifPresent(this::recordRunnerClock);
    // The ages in a report that was overtaken by a newer one would make what it says seem recent.
    if (isNewest) {
      crashSuspects.merge(report.crashReport(), now());
      recordReportedRateLimits(report);
    }
  }

  /** Returns the prompt parts and requests under which runners crashed. */
  CrashSuspects crashSuspects() {
    return crashSuspects;
  }

  /** Records whether a new connection to an endpoint was opened, if a runner has it. */
  void recordConnectAttempt(Endpoint endpoint, boolean isConnected) {
    runners.all().stream()
        .filter(runner -> runner.info().endpoint().equals(endpoint))
        .toList()
        .forEach(
            runner -> {
              if (isConnected && runner.isEjected() && runner.unreachedAt().isPresent()) {
                coldRunners.onReachedAgain(runner);
              }
              recordConnectAttempt(runner, isConnected);
            });
  }

  private void recordConnectAttempt(Runner runner, boolean isConnected) {
    String service = runner.info().service();
    ServiceReach reach = reachByService.computeIfAbsent(service, any -> new ServiceReach());
    Instant now = now();
    if (!reach.record(runner.id(), isConnected, availableIds(service), now)) {
      return;
    }
    if (!reach.isCutOff()) {
      runners.availableRunners(service).forEach(other -> other.probeNow(now));
    }
    Map<String, Long> failures = new TreeMap<>();
    reach.failures().forEach((id, at) -> failures.put(id, Duration.between(at, now).toMillis()));
    String event = reach.isCutOff() ? "runners_out_of_reach" : "runners_in_reach";
    metrics.count("relay." + event);
    log.info(
        event,
        line ->
            line.with("service", service)
                .with("failed_ms_ago", failures)
                .with("available", availableIds(service).size())
                .with("peers", peers.livePeers(now).size()));
  }

  /** Returns whether this node cannot reach most runners of a service. */
  boolean isOutOfReach(String service) {
    ServiceReach reach = reachByService.get(service);
    return reach != null && reach.isCutOff() && !runners.availableRunners(service).isEmpty();
  }

  /** Returns the services of which this node cannot reach most runners. */
  Set<String> servicesOutOfReach() {
    return reachByService.keySet().stream().filter(this::isOutOfReach).collect(toSet());
  }

  /**
   * Returns the runners to connect to, since they send nothing, or since others of their service
   * could not be reached.
   */
  List<Runner> runnersToVerify() {
    Instant now = now();
    Set<String> ids = new HashSet<>();
    reachByService.forEach(
        (service, reach) -> {
          List<String> available = new ArrayList<>(availableIds(service));
          Collections.shuffle(available);
          ids.addAll(reach.toVerify(available, now));
        });
    return runners.all().stream()
        .filter(runner -> ids.contains(runner.id()) || runner.isSilent(now))
        .toList();
  }

  /** Returns which peers serve requests while this node reaches no runner. */
  ForwardTargets forwardTargets() {
    return forwardTargets;
  }

  private List<String> availableIds(String service) {
    return runners.availableRunners(service).stream().map(Runner::id).toList();
  }

  private ServiceReach reach(String service) {
    return reachByService.computeIfAbsent(service, any -> new ServiceReach());
  }

  /** Returns where the latest streams began. */
  StreamOriginDirectory streamOrigins() {
    return streamOrigins;
  }

  /** Uses a log in which all nodes write where streams began. */
  public void useStreamOriginLog(StreamOriginLog originLog) {
    streamOrigins.useLog(originLog, log);
  }

  /** Writes where streams began, for services that have or lately had several software versions. */
  void writeStreamOrigins() {
    if (!isLogReachable) {
      return;
    }
    Map<String, Boolean> isNeeded = new HashMap<>();
    streamOrigins.writeJournal(
        service ->
            isNeeded.computeIfAbsent(
                service, name -> soleSoftwareVersion(name, maxStreamAge).isEmpty()),
        maxStreamAge,
        nodeCount());
  }

  private static Duration maxStreamAge(RelayConfiguration configuration) {
    return configuration.routes().stream()
        .filter(Route::isResumable)
        .map(Route::maxStreamAge)
        .max(Duration::compareTo)
        .orElse(Duration.ZERO);
  }

  /** Returns the version of the software that a runner has, empty if that is not certain. */
  Optional<String> softwareVersion(Runner runner) {
    return runners.softwareVersion(runner, isLogReachable, now());
  }

  /** Returns the software version of a service if it has been the only one for some time. */
  Optional<String> soleSoftwareVersion(String service, Duration time) {
    return isLogReachable ? runners.soleSoftwareVersion(service, time, now()) : Optional.empty();
  }

  /** Returns whether the log service is reachable. */
  public boolean isLogReachable() {
    return isLogReachable;
  }

  /** Returns whether this node must read the log itself, since it acts on what it says. */
  public boolean needsOwnReads() {
    return needsOwnReads;
  }

  /** Sets whether this node must read the log itself. */
  void setNeedsOwnReads(boolean isNeeded) {
    needsOwnReads = isNeeded;
  }

  /** Records whether the log service is reachable. */
  public void setLogReachable(boolean isReachable) {
    isLogReachable = isReachable;
  }

  /**
   * Records a reading of the runners' clock. Readings arrive late and so yield too small an offset;
   * the largest offset is the most accurate.
   */
  public void recordRunnerClock(long millis) {
    runnerClockOffsetMillis = Math.max(runnerClockOffsetMillis, millis - now().toEpochMilli());
  }

  /** Returns the current time of the runners' clock, empty before the first reading. */
  OptionalLong runnerClockMillis() {
    return runnerClockOffsetMillis == Long.MIN_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(now().toEpochMilli() + runnerClockOffsetMillis);
  }

  /**
   * Returns for each shared part of a prompt the store to save it to, if any. The list is empty if
   * no store is usable.
   */
  List<Optional<Endpoint>> saveTargets(String salt, List<Prompt.Part> shared) {
    List<Service.Store> stores = usableStores();
    return stores.isEmpty() ? List.of() : partPlacement.saveTargets(salt, shared, stores, now());
  }

  /**
   * Returns the stores that evict nothing by themselves and whose reported contents are current.
   */
  List<Service.Store> managedStores() {
    return usableStores().stream().filter(Service.Store::isManaged).toList();
  }

  /**
   * Returns parts in a store that belong to weights which no runner has any more, up to a limit.
   */
  List<PartDirectory.Key> partsOfReplacedWeights(Endpoint store, WeightsInUse inUse, int limit) {
    Map<String, Boolean> isReplaced = new HashMap<>();
    return parts
        .partsWithSalt(
            store, salt -> isReplaced.computeIfAbsent(salt, any -> isReplaced(salt, inUse)))
        .stream()
        .limit(limit)
        .toList();
  }

  /**
   * Returns whether the weights of a salt are replaced. A salt of an earlier release may be that of
   * several models; then all of them have to be.
   */
  private boolean isReplaced(String salt, WeightsInUse inUse) {
    boolean isOfKnownModel = false;
    for (String model : weights.announced().newest().keySet()) {
      OptionalLong version = CacheSalt.weightVersion(salt, model);
      if (version.isPresent()) {
        isOfKnownModel = true;
        if (!inUse.isReplaced(model, version.getAsLong(), now())) {
          return false;
        }
      }
    }
    return isOfKnownModel;
  }

  private List<Service.Store> usableStores() {
    return configuration.map(RelayConfiguration::stores).orElse(List.of()).stream()
        .filter(store -> parts.isFresh(store.endpoint(), now()))
        .toList();
  }

  RunnerSelector runnerSelector() {
    return runnerSelector;
  }

  /** Records the beginning of a successful answer, also in the metric of the estimate's error. */
  void recordTimeToFirstToken(RunnerSelector.Selection selection, Instant sentAt, Instant now) {
    double seconds = Duration.between(sentAt, now).toNanos() / 1e9;
    firstTokenErrors.record(selection.firstTokenSeconds(), seconds);
    runnerSelector.recordTimeToFirstToken(selection, seconds, now);
  }

  /** Returns the configuration in force. */
  public Optional<RelayConfiguration> configuration() {
    return configuration;
  }

  /** Replaces the configuration if the given one is newer. */
  public void applyConfiguration(RelayConfiguration newer) {
    long known = configuration.map(RelayConfiguration::version).orElse(-1L);
    if (newer.version() <= known) {
      return;
    }
    configuration = Optional.of(newer);
    maxStreamAge = maxStreamAge(newer);
    log.info(
        "configuration_in_force",
        event -> event.with("version", newer.version()).with("before", known));
  }

  /** Returns the announced weight versions and those of the runners. */
  public WeightsTracker weights() {
    return weights;
  }

  /**
   * Adds a runner of the host list or updates its entry. Returns whether the entry says anything
   * new; that a cold runner has less time left is not.
   */
  public boolean addOrUpdateRunner(RunnerInfo info) {
    final Optional<RunnerInfo> before = runners.find(info.id()).map(Runner::info);
    boolean wasAvailable = runners.find(info.id()).map(Runner::isAvailable).orElse(false);
    boolean isNew = runners.put(info, now());
    final boolean isNewlyCold = coldRunners.onListed(info);
    if (isNew) {
      parts.forget(info.endpoint());
    }
    if (isNew || wasAvailable == info.isDraining()) {
      log.info(
          isNew ? "runner_listed" : "runner_changed",
          event ->
              event
                  .with("runner", info.id())
                  .with("service", info.service())
                  .with("endpoint", info.endpoint())
                  .with("draining", info.isDraining())
                  .with("weights", info.weightVersions())
                  .with("software", info.softwareVersion().orElse("unknown")));
    }
    return isNewlyCold || before.filter(info::isSameExceptColdTime).isEmpty();
  }

  /**
   * Stops sending new requests to a runner that is draining, before the host list says so, until
   * its process is replaced by another one.
   *
   * @param runner the runner
   * @param source what says so, for the log
   */
  void markDraining(Runner runner, String source) {
    if (runner.isMarkedDraining()) {
      return;
    }
    runner.markDraining();
    metrics.count("relay.runner_draining");
    log.info("runner_draining", event -> event.with("runner", runner.id()).with("source", source));
  }

  /** Logs runners that were removed, and drops pending saves of parts that have expired. */
  public void onRunnersRemoved(List<String> ids) {
    partPlacement.expirePending(now());
    ids.forEach(id -> log.info("runner_gone", event -> event.with("runner", id)));
  }

  /** Changes the limits of the retry budgets. A change resets all budgets. */
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

  /** Sets whether and how second copies of late requests are sent; empty for none. */
  public void useHedging(Optional<HedgePolicy> policy) {
    hedgePolicy = policy;
  }

  /** Returns the policy for second copies of late requests, empty if none are sent. */
  Optional<HedgePolicy> hedgePolicy() {
    return hedgePolicy;
  }

  /** Returns the number of nodes that share the runners, at least {@link #MIN_NODES}. */
  public int nodeCount() {
    return Math.max(MIN_NODES, peers.nodeCount(now()));
  }

  /** Returns the runners and stores from which the runners of a service may fetch parts. */
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
   * Returns whether a runner appears to be unreachable: it has requests to answer but sends
   * nothing, and its cache reports, if it sends any, have stopped too. A runner that is only slow
   * still reports.
   *
   * @param runner the runner
   * @param reportsCache whether the runner sends cache reports
   */
  boolean isSilent(Runner runner, boolean reportsCache) {
    return runner.isSilent(now())
        && !(reportsCache && parts.isFresh(runner.info().endpoint(), now()));
  }

  /**
   * Holds requests back from a runner that rejected one, for the time that it asked for and a
   * random part of it, so that the nodes do not all return at the same moment.
   */
  void backOff(Runner runner, Duration retryAfter, String requestId) {
    double jitter = ThreadLocalRandom.current().nextDouble(MAX_BACKOFF_JITTER);
    Duration time = Duration.ofMillis((long) (retryAfter.toMillis() * (1 + jitter)));
    runner.backOff(time, now());
    metrics.count("relay.runner_backoff");
    log.info(
        "runner_backoff",
        event ->
            event
                .with("runner", runner.id())
                .with("request", requestId)
                .with("left_ms", runner.backoffLeft(now()).toMillis()));
  }

  /**
   * Records what an answer says about the rate of requests that its runner accepts.
   *
   * @param runner the runner
   * @param limit requests per second, empty for no limit; a left value describes an error
   * @param sentAt when the request was sent
   * @param requestId id of the request
   */
  void recordRateLimit(
      Runner runner, Either<String, OptionalDouble> limit, Instant sentAt, String requestId) {
    limit
        .peek(
            known -> {
              OptionalDouble before = runner.rateLimit().perSecond();
              if (runner.rateLimit().observe(known, sentAt, now())) {
                onRateLimitChanged(runner, before, "request " + requestId);
              }
            })
        .peekLeft(
            error ->
                log.info(
                    "rate_limit_unreadable",
                    event ->
                        event
                            .with("runner", runner.id())
                            .with("request", requestId)
                            .with("error", error)));
  }

  private void recordReportedRateLimits(PeerReport report) {
    report
        .rateLimits()
        .forEach(
            (id, limit) ->
                runners
                    .find(id)
                    .filter(runner -> runner.info().startedAtMillis() == limit.startedAtMillis())
                    .ifPresent(runner -> recordReportedRateLimit(runner, limit, report.node())));
  }

  private void recordReportedRateLimit(Runner runner, RateLimitReport report, String peer) {
    OptionalDouble before = runner.rateLimit().perSecond();
    if (runner.rateLimit().observeReported(report.perSecond(), now().minus(report.age()))) {
      onRateLimitChanged(runner, before, "node " + peer);
    }
  }

  private void onRateLimitChanged(Runner runner, OptionalDouble before, String source) {
    updateRateLimitShare(runner);
    metrics.count("relay.rate_limit_changed");
    log.info(
        "rate_limit_changed",
        event ->
            event
                .with("runner", runner.id())
                .with("per_second", describe(runner.rateLimit().perSecond()))
                .with("before", describe(before))
                .with("share_per_second", runner.rateLimit().sharePerSecond())
                .with("source", source));
  }

  /** Adapts this node's shares of rate limits to the requests that all nodes receive. */
  void updateRateLimitShares() {
    runners.all().forEach(this::updateRateLimitShare);
    coldRunners.updateShares();
  }

  private void updateRateLimitShare(Runner runner) {
    RunnerRateLimit limit = runner.rateLimit();
    if (limit.perSecond().isEmpty()) {
      return;
    }
    String service = runner.info().service();
    Map<String, Double> rates = peers.requestRates(service, now());
    rates.put(node, retryBudget(service).requestsPerSecond(now()));
    limit.setShare(
        RateLimitShares.share(runner.id(), limit.perSecond().getAsDouble(), node, rates), now());
  }

  /** Returns the number of runners that limit the rate of requests. */
  int rateLimitedRunners() {
    return (int) runners.all().stream().filter(r -> r.rateLimit().perSecond().isPresent()).count();
  }

  /** Returns the requests per second that this node receives, by service. */
  Map<String, Double> requestRates() {
    Map<String, Double> rates = new HashMap<>();
    retryBudgets.forEach((service, budget) -> rates.put(service, budget.requestsPerSecond(now())));
    return rates;
  }

  private static String describe(OptionalDouble limit) {
    return limit.isPresent() ? Double.toString(limit.getAsDouble()) : "none";
  }

  /** Returns how long a runner or store wants no requests of this node. */
  public Duration backoffLeft(Endpoint endpoint) {
    Instant now = now();
    return runners.all().stream()
        .filter(runner -> runner.info().endpoint().equals(endpoint))
        .map(runner -> runner.backoffLeft(now))
        .max(Comparator.naturalOrder())
        .orElse(Duration.ZERO);
  }

  /**
   * Returns how long the runners of a service want no requests of this node, empty if one of them
   * accepts requests or none is listed.
   */
  Optional<Duration> backoffLeft(String service) {
    Instant now = now();
    return runners.availableRunners(service).stream()
        .map(runner -> runner.backoffLeft(now))
        .min(Comparator.naturalOrder())
        .filter(Duration::isPositive);
  }

  /**
   * Returns the runners of a service that accept requests, without those that want a pause and
   * those that could not be reached lately; if none could be reached, returns these too.
   */
  List<Runner> reachable(String service) {
    Instant now = now();
    List<Runner> available =
        runners.availableRunners(service).stream()
            .filter(runner -> runner.backoffLeft(now).isZero())
            .toList();
    List<Runner> reachable = available.stream().filter(runner -> !runner.isEjected()).toList();
    return reachable.isEmpty() ? available : reachable;
  }

  /** Returns those of {@link #reachable} that their rate limits permit a request to. */
  List<Runner> permitted(String service) {
    Instant now = now();
    return reachable(service).stream().filter(runner -> runner.isPermitted(now)).toList();
  }

  /** Returns when runners of a service that only their rate limits hold back accept requests. */
  Optional<RateLimitForecast> rateLimitForecast(String service) {
    Instant now = now();
    return RateLimitForecast.of(
        reachable(service).stream().filter(runner -> !runner.isPermitted(now)).toList(), now);
  }

  /** Returns whether the node is ready to accept connections. */
  public boolean isReady() {
    return configuration.isPresent() && !isStopping;
  }

  /** Returns whether the node is shutting down. */
  public boolean isStopping() {
    return isStopping;
  }

  /** Marks the node as shutting down. */
  public void markStopping() {
    isStopping = true;
  }
}
