package org.dragonflyhill.standins.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.dragonflyhill.core.Placement;

/**
 * Chooses the runner of a request by a policy, based on the view of a node.
 *
 * <p>Only the offline bound reads the actual state of the runners. Not thread-safe; no argument may
 * be null.
 */
final class Router {

  private final Deployment deployment;
  private final RoutingPolicy policy;
  private final List<FakeRunner> runners;
  private final List<FakeStore> stores;
  private final RandomGenerator random;

  /** Creates a router. */
  Router(
      Deployment deployment,
      RoutingPolicy policy,
      List<FakeRunner> runners,
      List<FakeStore> stores,
      RandomGenerator random) {
    this.deployment = deployment;
    this.policy = policy;
    this.runners = runners;
    this.stores = stores;
    this.random = random;
  }

  /** Returns the route of a request, or empty if no runner is usable. */
  Optional<Route> route(NodeView view, TraceRequest request, long nowMicros) {
    List<Integer> usable =
        IntStream.range(0, runners.size()).filter(view::isRunnerUsable).boxed().toList();
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    return switch (policy) {
      case RoutingPolicy.RoundRobin() ->
          Optional.of(
              routeWithoutImport(
                  usable.get(view.nextRoundRobinIndex() % usable.size()), view, request));
      case RoutingPolicy.LeastLoaded() -> Optional.of(leastLoaded(usable, view, request));
      case RoutingPolicy.PrefixAffinity() -> Optional.of(longestPrefix(usable, view, request));
      case RoutingPolicy.Former() -> former(usable, view, request);
      case RoutingPolicy.Product() -> product(usable, view, request, nowMicros);
      case RoutingPolicy.OfflineBound() -> Optional.of(offlineBound(usable, request, nowMicros));
    };
  }

  private Route routeWithoutImport(int runner, NodeView view, TraceRequest request) {
    return new Route(runner, Optional.empty(), uncachedTokens(runner, view, request), 0);
  }

  private long uncachedTokens(int runner, NodeView view, TraceRequest request) {
    int cached = view.prefixEnd(runners.get(runner).name(), request.pieces(), 0);
    return request.promptTokens() - (long) cached * TraceRequest.PIECE_TOKENS;
  }

  private Route leastLoaded(List<Integer> usable, NodeView view, TraceRequest request) {
    Comparator<Integer> byLoad =
        Comparator.comparingLong(
            runner ->
                view.load(runner).queuedTokens()
                    + (long) (view.load(runner).running() + view.inFlight(runner))
                        * deployment.engine().chunkTokens());
    return routeWithoutImport(usable.stream().min(byLoad).orElseThrow(), view, request);
  }

  private Route longestPrefix(List<Integer> usable, NodeView view, TraceRequest request) {
    int start = view.nextRoundRobinIndex();
    int best = usable.get(start % usable.size());
    for (int offset = 1; offset < usable.size(); offset++) {
      int runner = usable.get((start + offset) % usable.size());
      if (uncachedTokens(runner, view, request) < uncachedTokens(best, view, request)) {
        best = runner;
      }
    }
    return routeWithoutImport(best, view, request);
  }

  private Optional<Route> former(List<Integer> usable, NodeView view, TraceRequest request) {
    List<Placement.Candidate> candidates = new ArrayList<>();
    for (int runner : usable) {
      FakeRunner fakeRunner = runners.get(runner);
      int cached = view.prefixEnd(fakeRunner.name(), request.pieces(), 0);
      candidates.add(
          new Placement.Candidate(
              fakeRunner.name(),
              formerWait(runner, view),
              Duration.ofMillis(1),
              (long) cached * TraceRequest.PIECE_TOKENS,
              0,
              fakeRunner.link().bytesPerSecond()));
    }
    return new FormerPlacement(deployment.weights())
        .choose(placementRequest(request), candidates)
        .map(choice -> routeWithoutImport(runnerIndex(choice.runner()), view, request));
  }

  private Duration formerWait(int runner, NodeView view) {
    Deployment.Engine engine = deployment.engine();
    int waiting = Math.max(0, view.inFlight(runner) + 1 - engine.slots());
    long tokens = view.load(runner).queuedTokens() + (long) waiting * TraceRequest.PIECE_TOKENS;
    return Duration.ofMillis(tokens * 1_000 / engine.prefillTokensPerSecond());
  }

  private Optional<Route> product(
      List<Integer> usable, NodeView view, TraceRequest request, long nowMicros) {
    List<Placement.Candidate> candidates = new ArrayList<>();
    for (int runner : usable) {
      candidates.add(candidate(runner, view, request, nowMicros));
    }
    return new Placement(deployment.weights())
        .choose(placementRequest(request), candidates, random)
        .map(choice -> toRoute(choice, view, request, nowMicros));
  }

  private Placement.Candidate candidate(
      int runner, NodeView view, TraceRequest request, long nowMicros) {
    FakeRunner fakeRunner = runners.get(runner);
    int cached = view.prefixEnd(fakeRunner.name(), request.pieces(), 0);
    Optional<Route.Import> imported = bestImport(view, request, cached, nowMicros);
    long importable =
        imported
            .map(range -> (long) (range.toPiece() - range.fromPiece()) * TraceRequest.PIECE_TOKENS)
            .orElse(0L);
    return new Placement.Candidate(
        fakeRunner.name(),
        view.queueWait(runner, request.urgent(), nowMicros),
        Duration.ofNanos(2_000 * deployment.latencyMicros(view.zone(), fakeRunner.zone())),
        (long) cached * TraceRequest.PIECE_TOKENS,
        importable,
        imported.map(range -> importBandwidth(fakeRunner, view, range)).orElse(1L),
        imported
            .filter(range -> !request.urgent())
            .map(range -> Duration.ofNanos(1_000 * view.linkWaitMicros(range.store(), nowMicros)))
            .orElse(Duration.ZERO));
  }

  private static long importBandwidth(FakeRunner runner, NodeView view, Route.Import range) {
    return Math.min(runner.link().bytesPerSecond(), view.linkBytesPerSecond(range.store()));
  }

  private Optional<Route.Import> bestImport(
      NodeView view, TraceRequest request, int cached, long nowMicros) {
    return IntStream.range(0, stores.size())
        .filter(view::isStoreUsable)
        .mapToObj(
            store ->
                new Route.Import(
                    store,
                    cached,
                    view.prefixEnd(stores.get(store).name(), request.pieces(), cached)))
        .filter(range -> range.toPiece() > range.fromPiece())
        .max(
            Comparator.comparingInt(Route.Import::toPiece)
                .thenComparing(
                    Comparator.comparingLong(
                            (Route.Import range) -> view.linkWaitMicros(range.store(), nowMicros))
                        .reversed()));
  }

  private Route toRoute(
      Placement.Choice choice, NodeView view, TraceRequest request, long nowMicros) {
    int runner = runnerIndex(choice.runner());
    double wait = view.queueWait(runner, request.urgent(), nowMicros).toNanos() / 1e9;
    if (choice.importTokens() == 0) {
      return new Route(runner, Optional.empty(), choice.computeTokens(), wait);
    }
    int cached = view.prefixEnd(choice.runner(), request.pieces(), 0);
    return new Route(
        runner, bestImport(view, request, cached, nowMicros), choice.computeTokens(), wait);
  }

  private Route offlineBound(List<Integer> usable, TraceRequest request, long nowMicros) {
    Deployment.Engine engine = deployment.engine();
    Comparator<Integer> byWait =
        Comparator.comparingDouble(
            runner -> trueWaitSeconds(runners.get(runner).load(nowMicros), engine));
    int best = usable.stream().min(byWait).orElseThrow();
    double wait = request.urgent() ? 0 : trueWaitSeconds(runners.get(best).load(nowMicros), engine);
    return new Route(best, Optional.empty(), 0, wait);
  }

  // Assumes 100 output tokens per request. The last term prefers the runner with fewer requests.
  private static double trueWaitSeconds(FakeRunner.Load load, Deployment.Engine engine) {
    int waiting = Math.max(0, load.running() + load.queued() + 1 - engine.slots());
    return (double) load.queuedTokens() / engine.prefillTokensPerSecond()
        + (double) waiting * engine.tokenMicros(engine.slots()) * 100 / engine.slots() / 1e6
        + load.running() * 1e-6;
  }

  private Placement.Request placementRequest(TraceRequest request) {
    return new Placement.Request(
        request.promptTokens(),
        deployment.engine().prefillTokensPerSecond(),
        deployment.engine().cacheBytesPerToken());
  }

  private static int runnerIndex(String runner) {
    return Integer.parseInt(runner.substring(runner.lastIndexOf('-') + 1));
  }
}
