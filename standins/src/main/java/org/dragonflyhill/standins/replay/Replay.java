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
 * Replays a trace through one policy: several nodes, each with a late view of its own, before fake
 * runners, stores and links.
 *
 * <pre>{@code
 * Row row = new Replay(deployment, policy, trace, shape, Fault.NONE, new Random(1)).run(setting);
 * }</pre>
 *
 * <p>Runs once; not thread-safe; no argument may be null.
 */
public final class Replay implements FakeRunner.Listener {

  private static final long REPORT_MICROS = 500_000;
  private static final long REPORT_LAG_MICROS = 200_000;
  private static final long STALE_MICROS = 10_000_000;
  private static final long EVENT_LAG_MICROS = 300_000;
  private static final double LOST_EVENTS = 0.01;
  private static final long RESYNC_MICROS = 2_000_000;
  private static final long CONNECT_FAILURE_MICROS = 50_000;
  private static final long LOST_STORE_MICROS = 1_000_000;
  private static final long IDLE_MICROS = 2_000_000;
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
  private final Set<Integer> lostNodes = new HashSet<>();
  private final Set<String> seen = new HashSet<>();
  private final Outcomes outcomes;
  private final Router router;
  private final long faultMicros;
  private boolean isLogDown;
  private boolean isReporting;
  private long lastArrivalMicros;
  private long busyBeforeMicros;

  /** Creates a replay with idle machines and empty caches. */
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
    createMachines();
    router = new Router(deployment, policy.routing(), runners, stores, random);
  }

  /** Runs the whole trace and returns what was measured. */
  public Row run(Row.Setting setting) {
    for (TraceRequest request : trace.requests()) {
      loop.at(request.arrivalMicros(), now -> arrive(request, now));
    }
    loop.at(trace.measureFromMillis() * 1_000, now -> busyBeforeMicros = storeBusyMicros());
    loop.at(faultMicros, this::strike);
    loop.run();
    double peakMicros = (double) shape.peaks() * shape.peak().toNanos() / 1_000;
    double linkUse = (storeBusyMicros() - busyBeforeMicros) / (peakMicros * stores.size());
    return outcomes.row(setting, linkUse, peakMicros / 1e6);
  }

  private void createMachines() {
    Deployment.Engine engine = deployment.engine();
    for (int number = 0; number < deployment.runners(); number++) {
      var link = new FakeLink(engine.linkBytesPerSecond());
      String zone = deployment.zone(number);
      runners.add(new FakeRunner("runner-" + number, zone, engine, link, loop, this));
    }
    int capacity = (int) (deployment.storeBytes() / engine.pieceBytes(1));
    for (int number = 0; number < deployment.stores(); number++) {
      var link = new FakeLink(deployment.storeLinkBytesPerSecond());
      stores.add(new FakeStore("store-" + number, deployment.zone(number), link, capacity));
    }
    for (int number = 0; number < deployment.nodes(); number++) {
      views.add(new NodeView(deployment.zone(number), deployment));
    }
  }

  private long storeBusyMicros() {
    return stores.stream().mapToLong(store -> store.link().busyMicros()).sum();
  }

  private void arrive(TraceRequest request, long nowMicros) {
    lastArrivalMicros = nowMicros;
    outcomes.arrived(request);
    startReports(nowMicros);
    int node = random.nextInt(views.size());
    while (lostNodes.contains(node)) {
      node = random.nextInt(views.size());
    }
    int chosen = node;
    long client = deployment.clientLatency().toNanos() / 1_000;
    loop.at(nowMicros + client, now -> dispatch(new Call(request), chosen, now));
  }

  private void dispatch(Call call, int node, long nowMicros) {
    TraceRequest request = call.request;
    if (isLogDown && !request.repeatable()) {
      outcomes.refused(request, RefusalReason.LOG_UNAVAILABLE);
      return;
    }
    NodeView view = views.get(node);
    Optional<Route> route = router.route(view, request, nowMicros);
    if (route.isEmpty()) {
      outcomes.refused(request, RefusalReason.NO_ENDPOINT);
      return;
    }
    Optional<RefusalReason> refusal =
        policy.admission().refusal(request, route.get(), view.use(), nowMicros);
    if (refusal.isPresent()) {
      outcomes.refused(request, refusal.get());
      return;
    }
    send(call, node, route.get(), nowMicros);
  }

  private void send(Call call, int node, Route route, long nowMicros) {
    TraceRequest request = call.request;
    NodeView view = views.get(node);
    call.attempts++;
    view.sent(route.runner(), route.computeTokens(), request.urgent(), nowMicros);
    route.imported().ifPresent(range -> view.importing(range.store(), bytes(range), nowMicros));
    view.use()
        .admitted(request.organisation(), request.tailTokens() + request.outputTokens(), nowMicros);
    FakeRunner runner = runners.get(route.runner());
    long latency = deployment.latencyMicros(view.zone(), runner.zone());
    Job job = new Job(call, node, route);
    loop.at(nowMicros + latency, now -> receive(job, now));
  }

  private long bytes(Route.Import range) {
    return deployment.engine().pieceBytes(range.toPiece() - range.fromPiece());
  }

  private void receive(Job job, long nowMicros) {
    if (runners.get(job.runner).isLost()) {
      loop.at(nowMicros + CONNECT_FAILURE_MICROS, now -> attemptLost(job, true, now));
      return;
    }
    submit(job, nowMicros);
  }

  private void submit(Job job, long nowMicros) {
    FakeRunner runner = runners.get(job.runner);
    if (runner.isLost()) {
      attemptLost(job, true, nowMicros);
    } else if (!runner.submit(job, nowMicros)) {
      views.get(job.node).ended(job.runner);
      outcomes.refused(job.request, RefusalReason.QUEUE_FULL);
    }
  }

  private void attemptLost(Job job, boolean isSurelyNotRun, long nowMicros) {
    NodeView view = views.get(job.node);
    view.ended(job.runner);
    view.runnerLost(job.runner, runners.get(job.runner).name());
    boolean isRetried =
        job.call.attempts < MAX_ATTEMPTS && (isSurelyNotRun || job.request.repeatable());
    if (!isRetried) {
      outcomes.refused(job.request, RefusalReason.ENDPOINT_FAILED);
      return;
    }
    outcomes.retried(job.request);
    dispatch(job.call, survivor(job.node), nowMicros);
  }

  private int survivor(int node) {
    int chosen = node;
    while (lostNodes.contains(chosen)) {
      chosen = (chosen + 1) % views.size();
    }
    return chosen;
  }

  @Override
  public void slotTaken(Job job, long nowMicros) {
    job.slotAtMicros = nowMicros;
    Optional<Route.Import> imported = job.route.imported();
    if (imported.isEmpty()) {
      runners.get(job.runner).ready(job, List.of(), nowMicros);
      return;
    }
    Route.Import range = imported.get();
    List<String> wanted = job.request.pieces().subList(range.fromPiece(), range.toPiece());
    fetch(job, stores.get(range.store()), wanted, nowMicros);
  }

  private void fetch(Job job, FakeStore store, List<String> wanted, long nowMicros) {
    List<String> found = wanted.subList(0, store.use(wanted));
    FakeRunner runner = runners.get(job.runner);
    long bytes = deployment.engine().pieceBytes(found.size());
    var priority = job.request.urgent() ? Priority.URGENT : Priority.ORDINARY;
    long end =
        Math.max(
            store.link().transfer(bytes, priority, nowMicros),
            runner.link().transfer(bytes, priority, nowMicros));
    long latency = deployment.latencyMicros(store.zone(), runner.zone());
    loop.at(end + latency, now -> runner.ready(job, store.isLost() ? List.of() : found, now));
  }

  @Override
  public long missingTokens(Job job, int cachedPieces) {
    int known = cachedPieces;
    if (policy.routing() instanceof RoutingPolicy.OfflineBound) {
      List<String> pieces = job.request.pieces();
      while (known < pieces.size() && seen.contains(pieces.get(known))) {
        known++;
      }
    }
    return job.request.promptTokens() - (long) known * TraceRequest.PIECE_TOKENS;
  }

  @Override
  public void firstToken(Job job, long nowMicros) {
    List<String> pieces = job.request.pieces();
    long unseen = pieces.stream().filter(seen::add).count();
    outcomes.computed(
        job.request,
        job.computedTokens,
        unseen * TraceRequest.PIECE_TOKENS + job.request.tailTokens());
    NodeView view = views.get(job.node);
    FakeRunner runner = runners.get(job.runner);
    view.holderChanged(runner.name(), pieces, List.of());
    if (!job.call.hasFirstToken) {
      job.call.hasFirstToken = true;
      outcomes.firstToken(job.request, nowMicros + backMicros(job));
    }
    export(job, view, runner, nowMicros);
  }

  private long backMicros(Job job) {
    return deployment.clientLatency().toNanos() / 1_000
        + deployment.latencyMicros(views.get(job.node).zone(), runners.get(job.runner).zone());
  }

  private void export(Job job, NodeView view, FakeRunner runner, long nowMicros) {
    if (policy.keep() instanceof KeepDecision.Nothing) {
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
      if (policy.keep().isExported(copies, wait)) {
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
      boolean isSecond,
      long nowMicros) {
    long bytes = deployment.engine().pieceBytes(1);
    long end =
        Math.max(
            store.link().transfer(bytes, Priority.BACKGROUND, nowMicros),
            runner.link().transfer(bytes, Priority.BACKGROUND, nowMicros));
    loop.at(
        end,
        now -> {
          List<String> evicted = store.add(piece, isSecond).map(List::of).orElse(List.of());
          if (!store.isLost()) {
            view.holderChanged(store.name(), List.of(piece), evicted);
            announce(store.name(), List.of(piece), evicted, now);
          }
        });
  }

  private void announce(String holder, List<String> added, List<String> gone, long nowMicros) {
    for (NodeView view : views) {
      loop.at(nowMicros + EVENT_LAG_MICROS, now -> view.holderChanged(holder, added, gone));
    }
  }

  @Override
  public void cacheChanged(
      FakeRunner runner, List<String> added, List<String> evicted, long nowMicros) {
    for (NodeView view : views) {
      if (random.nextDouble() < LOST_EVENTS) {
        loop.at(nowMicros + RESYNC_MICROS, now -> view.resynced(runner.name(), runner.contents()));
      } else {
        loop.at(
            nowMicros + EVENT_LAG_MICROS, now -> view.holderChanged(runner.name(), added, evicted));
      }
    }
  }

  @Override
  public void finished(Job job, long gapMicros, long nowMicros) {
    views.get(job.node).ended(job.runner);
    views.get(job.node).slotHeld(nowMicros - job.slotAtMicros);
    outcomes.finished(job.request, gapMicros, nowMicros + backMicros(job));
  }

  @Override
  public void expired(Job job, long nowMicros) {
    views.get(job.node).ended(job.runner);
    outcomes.refused(job.request, RefusalReason.DEADLINE_PASSED);
  }

  private void startReports(long nowMicros) {
    if (!isReporting) {
      isReporting = true;
      report(nowMicros);
    }
  }

  private void report(long nowMicros) {
    boolean isStale = fault == Fault.STALE_LOAD && nowMicros >= faultMicros;
    long lag = isStale ? STALE_MICROS : REPORT_LAG_MICROS;
    for (int number = 0; number < runners.size(); number++) {
      int runner = number;
      if (!runners.get(runner).isLost()) {
        FakeRunner.Load load = runners.get(runner).load(nowMicros);
        loop.at(nowMicros + lag, now -> views.forEach(view -> view.reported(runner, load)));
      }
    }
    for (int number = 0; number < stores.size(); number++) {
      int store = number;
      FakeLink link = stores.get(store).link();
      long wait = link.waitMicros(Priority.ORDINARY, nowMicros);
      long bytesPerSecond = link.bytesPerSecond();
      loop.at(
          nowMicros + lag,
          now -> views.forEach(view -> view.linkReported(store, bytesPerSecond, wait, nowMicros)));
    }
    isReporting = nowMicros < lastArrivalMicros + IDLE_MICROS;
    if (isReporting) {
      loop.at(nowMicros + (isStale ? STALE_MICROS : REPORT_MICROS), this::report);
    }
  }

  private void strike(long nowMicros) {
    switch (fault) {
      case STORE_LOST -> loseStore(0, nowMicros);
      case RUNNER_LOST -> loseRunner(0, nowMicros);
      case LINK_TENTH -> stores.forEach(store -> store.link().slowDown(0.1));
      case ZONE_LOST -> loseZone(deployment.zone(0), nowMicros);
      case LOG_DOWN -> isLogDown = true;
      case NONE, STALE_LOAD -> {}
      default -> throw new IllegalStateException("no effect of " + fault);
    }
  }

  private void loseZone(String zone, long nowMicros) {
    for (int node = 0; node < views.size(); node++) {
      if (views.get(node).zone().equals(zone)) {
        lostNodes.add(node);
      }
    }
    for (int store = 0; store < stores.size(); store++) {
      if (stores.get(store).zone().equals(zone)) {
        loseStore(store, nowMicros);
      }
    }
    for (int runner = 0; runner < runners.size(); runner++) {
      if (runners.get(runner).zone().equals(zone)) {
        loseRunner(runner, nowMicros);
      }
    }
  }

  private void loseStore(int number, long nowMicros) {
    FakeStore store = stores.get(number);
    store.lose();
    loop.at(
        nowMicros + LOST_STORE_MICROS,
        now -> views.forEach(view -> view.storeLost(number, store.name())));
  }

  private void loseRunner(int number, long nowMicros) {
    for (Job job : runners.get(number).lose()) {
      loop.at(nowMicros + CONNECT_FAILURE_MICROS, now -> attemptLost(job, false, now));
    }
  }
}
