package org.dragonflyhill.standins.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.standins.replay.FakeLink.Priority;
import org.dragonflyhill.standins.replay.FakeRunner.Call;
import org.dragonflyhill.standins.replay.FakeRunner.Job;

/**
 * Replays a trace with one policy, as a discrete-event simulation: several nodes, each with its own
 * delayed view of the system, send requests to simulated runners, stores and links.
 *
 * <pre>{@code
 * Row row = new Replay(deployment, policy, trace, shape, Fault.NONE, new Random(1)).run(scenario);
 * }</pre>
 *
 * <p>Runs once; not thread-safe; no argument may be null.
 */
public final class Replay implements FakeRunner.Listener {

  private static final long REPORT_INTERVAL_MICROS = 500_000;
  private static final long REPORT_LAG_MICROS = 200_000;

  /** Interval and lag of load reports during {@link Fault#STALE_LOAD}. */
  private static final long STALE_REPORT_MICROS = 10_000_000;

  private static final long EVENT_LAG_MICROS = 300_000;
  private static final double EVENT_LOSS_PROBABILITY = 0.01;
  private static final long RESYNC_DELAY_MICROS = 2_000_000;
  private static final long FAILURE_DETECTION_MICROS = 50_000;
  private static final long STORE_FAILURE_DETECTION_MICROS = 1_000_000;

  /** Reports end this long after the last arrival, so that the event loop can end. */
  private static final long REPORT_STOP_MICROS = 2_000_000;

  /** Time after a fault by which the system should have recovered. */
  private static final long RECOVERY_MICROS = Duration.ofSeconds(30).toNanos() / 1_000;

  private static final int MAX_ATTEMPTS = 3;

  private final Deployment deployment;
  private final Policy policy;
  private final Trace trace;
  private final TraceGenerator.Shape shape;
  private final Fault fault;
  private final RandomGenerator random;
  private final EventLoop loop = new EventLoop();
  private final List<FakeRunner> runners = new ArrayList<>();
  private final List<FakeStore> stores = new ArrayList<>();
  private final List<NodeView> views = new ArrayList<>();
  private final Set<Integer> failedNodes = new HashSet<>();
  private final Set<String> seenPieces = new HashSet<>();
  private final Outcomes outcomes;
  private final Router router;
  private final long faultMicros;
  private boolean isLogDown;
  private boolean isReporting;
  private long lastArrivalMicros;
  private long warmUpBusyMicros;

  /** Creates a replay with idle hosts and empty caches. */
  public Replay(
      Deployment deployment,
      Policy policy,
      Trace trace,
      TraceGenerator.Shape shape,
      Fault fault,
      RandomGenerator random) {
    this.deployment = deployment;
    this.policy = policy;
    this.trace = trace;
    this.shape = shape;
    this.fault = fault;
    this.random = random;
    long start = trace.measureFromMillis() * 1_000;
    long peak = shape.peak().toNanos() / 1_000;
    faultMicros = start + peak / 3;
    outcomes = new Outcomes(start, faultMicros + RECOVERY_MICROS, start + peak);
    createHosts();
    router = new Router(deployment, policy.routing(), runners, stores, random);
  }

  /** Runs the whole trace and returns the measurements. */
  public Row run(Row.Scenario scenario) {
    for (TraceRequest request : trace.requests()) {
      loop.schedule(request.arrivalMicros(), now -> receiveCall(request, now));
    }
    loop.schedule(trace.measureFromMillis() * 1_000, now -> warmUpBusyMicros = storeBusyMicros());
    loop.schedule(faultMicros, this::injectFault);
    loop.run();
    double peakMicros = (double) shape.peaks() * shape.peak().toNanos() / 1_000;
    double linkUse = (storeBusyMicros() - warmUpBusyMicros) / (peakMicros * stores.size());
    return outcomes.row(scenario, linkUse, peakMicros / 1e6);
  }

  private void createHosts() {
    Deployment.Engine engine = deployment.engine();
    for (int number = 0; number < deployment.runners(); number++) {
      var link = new FakeLink(engine.linkBytesPerSecond());
      String zone = deployment.zoneOf(number);
      runners.add(new FakeRunner("runner-" + number, zone, engine, link, loop, this));
    }
    int capacity = (int) (deployment.storeBytes() / engine.pieceBytes(1));
    for (int number = 0; number < deployment.stores(); number++) {
      var link = new FakeLink(deployment.storeLinkBytesPerSecond());
      stores.add(new FakeStore("store-" + number, deployment.zoneOf(number), link, capacity));
    }
    for (int number = 0; number < deployment.nodes(); number++) {
      views.add(new NodeView(deployment.zoneOf(number), deployment));
    }
  }

  private long storeBusyMicros() {
    return stores.stream().mapToLong(store -> store.link().busyMicros()).sum();
  }

  private void receiveCall(TraceRequest request, long nowMicros) {
    lastArrivalMicros = nowMicros;
    outcomes.recordArrival(request);
    startReports(nowMicros);
    int node = random.nextInt(views.size());
    while (failedNodes.contains(node)) {
      node = random.nextInt(views.size());
    }
    int chosen = node;
    long clientMicros = deployment.clientLatency().toNanos() / 1_000;
    loop.schedule(nowMicros + clientMicros, now -> dispatch(new Call(request), chosen, now));
  }

  private void dispatch(Call call, int node, long nowMicros) {
    TraceRequest request = call.request;
    if (isLogDown && !request.repeatable()) {
      outcomes.recordRefusal(request, RefusalReason.LOG_UNAVAILABLE);
      return;
    }
    NodeView view = views.get(node);
    Optional<Route> route = router.route(view, request, nowMicros);
    if (route.isEmpty()) {
      outcomes.recordRefusal(request, RefusalReason.NO_ENDPOINT);
      return;
    }
    Optional<RefusalReason> refusal =
        policy.admission().refusal(request, route.get(), view.usage(), nowMicros);
    if (refusal.isPresent()) {
      outcomes.recordRefusal(request, refusal.get());
      return;
    }
    send(call, node, route.get(), nowMicros);
  }

  private void send(Call call, int node, Route route, long nowMicros) {
    TraceRequest request = call.request;
    NodeView view = views.get(node);
    call.attempts++;
    view.recordSent(route.runner(), route.computeTokens(), request.urgent(), nowMicros);
    route.imported().ifPresent(range -> view.recordImport(range.store(), bytes(range), nowMicros));
    view.usage()
        .recordAdmitted(
            request.organisation(), request.tailTokens() + request.outputTokens(), nowMicros);
    FakeRunner runner = runners.get(route.runner());
    long latency = deployment.latencyMicros(view.zone(), runner.zone());
    Job job = new Job(call, node, route);
    loop.schedule(nowMicros + latency, now -> receiveJob(job, now));
  }

  private long bytes(Route.Import range) {
    return deployment.engine().pieceBytes(range.toPiece() - range.fromPiece());
  }

  private void receiveJob(Job job, long nowMicros) {
    if (runners.get(job.runner).isFailed()) {
      loop.schedule(
          nowMicros + FAILURE_DETECTION_MICROS, now -> handleFailedAttempt(job, true, now));
      return;
    }
    submit(job, nowMicros);
  }

  private void submit(Job job, long nowMicros) {
    FakeRunner runner = runners.get(job.runner);
    if (runner.isFailed()) {
      handleFailedAttempt(job, true, nowMicros);
    } else if (!runner.submit(job, nowMicros)) {
      views.get(job.node).recordEnd(job.runner);
      outcomes.recordRefusal(job.request, RefusalReason.QUEUE_FULL);
    }
  }

  private void handleFailedAttempt(Job job, boolean isKnownNotRun, long nowMicros) {
    NodeView view = views.get(job.node);
    view.recordEnd(job.runner);
    view.markRunnerFailed(job.runner, runners.get(job.runner).name());
    boolean isRetried =
        job.call.attempts < MAX_ATTEMPTS && (isKnownNotRun || job.request.repeatable());
    if (!isRetried) {
      outcomes.recordRefusal(job.request, RefusalReason.ENDPOINT_FAILED);
      return;
    }
    outcomes.recordRetry(job.request);
    dispatch(job.call, nextLiveNode(job.node), nowMicros);
  }

  private int nextLiveNode(int node) {
    int chosen = node;
    while (failedNodes.contains(chosen)) {
      chosen = (chosen + 1) % views.size();
    }
    return chosen;
  }

  @Override
  public void slotTaken(Job job, long nowMicros) {
    job.slotTakenAtMicros = nowMicros;
    Optional<Route.Import> imported = job.route.imported();
    if (imported.isEmpty()) {
      runners.get(job.runner).startPrefill(job, List.of(), nowMicros);
      return;
    }
    Route.Import range = imported.get();
    List<String> wanted = job.request.pieces().subList(range.fromPiece(), range.toPiece());
    importPieces(job, stores.get(range.store()), wanted, nowMicros);
  }

  private void importPieces(Job job, FakeStore store, List<String> wanted, long nowMicros) {
    List<String> found = wanted.subList(0, store.lookUpPrefix(wanted));
    FakeRunner runner = runners.get(job.runner);
    long bytes = deployment.engine().pieceBytes(found.size());
    var priority = job.request.urgent() ? Priority.URGENT : Priority.ORDINARY;
    long end =
        Math.max(
            store.link().transfer(bytes, priority, nowMicros),
            runner.link().transfer(bytes, priority, nowMicros));
    long latency = deployment.latencyMicros(store.zone(), runner.zone());
    loop.schedule(
        end + latency, now -> runner.startPrefill(job, store.isFailed() ? List.of() : found, now));
  }

  @Override
  public long tokensToCompute(Job job, int cachedPieces) {
    int availablePieces = cachedPieces;
    if (policy.routing() instanceof RoutingPolicy.OfflineBound) {
      List<String> pieces = job.request.pieces();
      while (availablePieces < pieces.size() && seenPieces.contains(pieces.get(availablePieces))) {
        availablePieces++;
      }
    }
    return job.request.promptTokens() - (long) availablePieces * TraceRequest.PIECE_TOKENS;
  }

  @Override
  public void firstToken(Job job, long nowMicros) {
    List<String> pieces = job.request.pieces();
    long unseenPieces = pieces.stream().filter(seenPieces::add).count();
    outcomes.recordPrefill(
        job.request,
        job.computedTokens,
        unseenPieces * TraceRequest.PIECE_TOKENS + job.request.tailTokens());
    NodeView view = views.get(job.node);
    FakeRunner runner = runners.get(job.runner);
    view.updateHolder(runner.name(), pieces, List.of());
    if (!job.call.hasFirstToken) {
      job.call.hasFirstToken = true;
      outcomes.recordFirstToken(job.request, nowMicros + responseLatencyMicros(job));
    }
    export(job, view, runner, nowMicros);
  }

  private long responseLatencyMicros(Job job) {
    return deployment.clientLatency().toNanos() / 1_000
        + deployment.latencyMicros(views.get(job.node).zone(), runners.get(job.runner).zone());
  }

  private void export(Job job, NodeView view, FakeRunner runner, long nowMicros) {
    if (policy.export() instanceof ExportPolicy.NoExport) {
      return;
    }
    for (String piece : job.request.pieces()) {
      exportPiece(piece, runner, view, nowMicros);
    }
  }

  private void exportPiece(String piece, FakeRunner runner, NodeView view, long nowMicros) {
    int copies = (int) stores.stream().filter(store -> view.holds(store.name(), piece)).count();
    for (FakeStore store : storesWithout(view, piece)) {
      long wait = store.link().waitMicros(Priority.BACKGROUND, nowMicros);
      if (policy.export().shouldExport(copies, wait)) {
        exportTo(store, runner, view, piece, copies > 0, nowMicros);
        copies++;
      }
    }
  }

  private List<FakeStore> storesWithout(NodeView view, String piece) {
    int start = Math.floorMod(piece.substring(0, piece.lastIndexOf('/')).hashCode(), stores.size());
    return IntStream.range(0, stores.size())
        .map(offset -> (start + offset) % stores.size())
        .filter(view::isStoreUsable)
        .mapToObj(stores::get)
        .filter(store -> !view.holds(store.name(), piece))
        .toList();
  }

  private void exportTo(
      FakeStore store,
      FakeRunner runner,
      NodeView view,
      String piece,
      boolean isSecondCopy,
      long nowMicros) {
    long bytes = deployment.engine().pieceBytes(1);
    long end =
        Math.max(
            store.link().transfer(bytes, Priority.BACKGROUND, nowMicros),
            runner.link().transfer(bytes, Priority.BACKGROUND, nowMicros));
    loop.schedule(
        end,
        now -> {
          List<String> evicted = store.add(piece, isSecondCopy).map(List::of).orElse(List.of());
          if (!store.isFailed()) {
            view.updateHolder(store.name(), List.of(piece), evicted);
            publishChange(store.name(), List.of(piece), evicted, now);
          }
        });
  }

  private void publishChange(
      String holder, List<String> added, List<String> removed, long nowMicros) {
    for (NodeView view : views) {
      loop.schedule(nowMicros + EVENT_LAG_MICROS, now -> view.updateHolder(holder, added, removed));
    }
  }

  @Override
  public void cacheChanged(
      FakeRunner runner, List<String> added, List<String> evicted, long nowMicros) {
    for (NodeView view : views) {
      if (random.nextDouble() < EVENT_LOSS_PROBABILITY) {
        loop.schedule(
            nowMicros + RESYNC_DELAY_MICROS,
            now -> view.replaceHolder(runner.name(), runner.cacheContents()));
      } else {
        loop.schedule(
            nowMicros + EVENT_LAG_MICROS, now -> view.updateHolder(runner.name(), added, evicted));
      }
    }
  }

  @Override
  public void finished(Job job, long gapMicros, long nowMicros) {
    views.get(job.node).recordEnd(job.runner);
    views.get(job.node).recordSlotTime(nowMicros - job.slotTakenAtMicros);
    outcomes.recordFinished(job.request, gapMicros, nowMicros + responseLatencyMicros(job));
  }

  @Override
  public void expired(Job job, long nowMicros) {
    views.get(job.node).recordEnd(job.runner);
    outcomes.recordRefusal(job.request, RefusalReason.DEADLINE_PASSED);
  }

  private void startReports(long nowMicros) {
    if (!isReporting) {
      isReporting = true;
      report(nowMicros);
    }
  }

  private void report(long nowMicros) {
    boolean isStale = fault == Fault.STALE_LOAD && nowMicros >= faultMicros;
    long lag = isStale ? STALE_REPORT_MICROS : REPORT_LAG_MICROS;
    for (int number = 0; number < runners.size(); number++) {
      int runner = number;
      if (!runners.get(runner).isFailed()) {
        FakeRunner.Load load = runners.get(runner).load(nowMicros);
        loop.schedule(nowMicros + lag, now -> views.forEach(view -> view.updateLoad(runner, load)));
      }
    }
    for (int number = 0; number < stores.size(); number++) {
      int store = number;
      FakeLink link = stores.get(store).link();
      long wait = link.waitMicros(Priority.ORDINARY, nowMicros);
      long bytesPerSecond = link.bytesPerSecond();
      loop.schedule(
          nowMicros + lag,
          now -> views.forEach(view -> view.updateLink(store, bytesPerSecond, wait, nowMicros)));
    }
    isReporting = nowMicros < lastArrivalMicros + REPORT_STOP_MICROS;
    if (isReporting) {
      loop.schedule(
          nowMicros + (isStale ? STALE_REPORT_MICROS : REPORT_INTERVAL_MICROS), this::report);
    }
  }

  private void injectFault(long nowMicros) {
    switch (fault) {
      case STORE_LOST -> failStore(0, nowMicros);
      case RUNNER_LOST -> failRunner(0, nowMicros);
      case LINK_TENTH -> stores.forEach(store -> store.link().scaleBandwidth(0.1));
      case ZONE_LOST -> failZone(deployment.zoneOf(0), nowMicros);
      case LOG_DOWN -> isLogDown = true;
      case NONE, STALE_LOAD -> {}
      default -> throw new IllegalStateException("no effect of " + fault);
    }
  }

  private void failZone(String zone, long nowMicros) {
    for (int node = 0; node < views.size(); node++) {
      if (views.get(node).zone().equals(zone)) {
        failedNodes.add(node);
      }
    }
    for (int store = 0; store < stores.size(); store++) {
      if (stores.get(store).zone().equals(zone)) {
        failStore(store, nowMicros);
      }
    }
    for (int runner = 0; runner < runners.size(); runner++) {
      if (runners.get(runner).zone().equals(zone)) {
        failRunner(runner, nowMicros);
      }
    }
  }

  private void failStore(int index, long nowMicros) {
    FakeStore store = stores.get(index);
    store.fail();
    loop.schedule(
        nowMicros + STORE_FAILURE_DETECTION_MICROS,
        now -> views.forEach(view -> view.markStoreFailed(index, store.name())));
  }

  private void failRunner(int index, long nowMicros) {
    for (Job job : runners.get(index).fail()) {
      loop.schedule(
          nowMicros + FAILURE_DETECTION_MICROS, now -> handleFailedAttempt(job, false, now));
    }
  }
}
