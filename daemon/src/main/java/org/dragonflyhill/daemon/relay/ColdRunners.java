package org.dragonflyhill.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Function;
import org.dragonflyhill.core.relay.ColdStartLimits;
import org.dragonflyhill.core.relay.Runner;
import org.dragonflyhill.core.relay.RunnerInfo;
import org.dragonflyhill.core.relay.RunnerTable;
import org.dragonflyhill.core.relay.Service;
import org.dragonflyhill.daemon.NodeMetrics;

/**
 * Keeps track of cold runners and of this node's shares of the requests that they accept.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class ColdRunners {

  private final String node;
  private final RunnerTable runners;
  private final Function<String, Optional<Service.ColdStart>> coldStarts;
  private final InstantSource clock;
  private final DecisionLog log;
  private final NodeMetrics metrics;
  private final Set<String> registeredNodes = new HashSet<>();
  private ColdStartLimits limits = ColdStartLimits.NONE;

  /**
   * Creates a state without registered nodes.
   *
   * @param node name of this node
   * @param runners the listed runners
   * @param coldStarts limits of the cold runners of a service, empty if it has none
   * @param clock monotonic clock of the node
   * @param log log for decisions and state changes
   * @param metrics metrics of the node
   */
  ColdRunners(
      String node,
      RunnerTable runners,
      Function<String, Optional<Service.ColdStart>> coldStarts,
      InstantSource clock,
      DecisionLog log,
      NodeMetrics metrics) {
    this.node = node;
    this.runners = runners;
    this.coldStarts = coldStarts;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
  }

  /** Sets how many requests all nodes together may send to a cold runner. */
  public void useLimits(ColdStartLimits newLimits) {
    limits = newLimits;
    updateShares();
  }

  /**
   * Records that a node is registered in the log. Until this node has read its own registration it
   * sends nothing to cold runners, since it does not know with whom it shares them.
   */
  public void recordRegisteredNode(String name) {
    if (registeredNodes.add(name)) {
      updateShares();
    }
  }

  /** Records what an entry of the host list says; returns whether its runner was not yet cold. */
  boolean onListed(RunnerInfo info) {
    return runners
        .find(info.id())
        .filter(runner -> info.coldRemaining().isPositive())
        .filter(runner -> recordCold(runner, info.coldRemaining(), "host list"))
        .isPresent();
  }

  /**
   * Records that a runner can be reached again after a failed connection. Its process may have been
   * replaced before the host list says so.
   */
  void onReachedAgain(Runner runner) {
    assumeCold(runner, "reached again");
  }

  /** Records that a zone is no longer evacuated. Its runners may have been replaced meanwhile. */
  void onEvacuationEnded(String zone) {
    runners.all().stream()
        .filter(runner -> runner.info().zone().equals(zone))
        .forEach(runner -> assumeCold(runner, "evacuation ended"));
  }

  private void assumeCold(Runner runner, String source) {
    coldStarts
        .apply(runner.info().service())
        .ifPresent(coldStart -> recordCold(runner, coldStart.time(), source));
  }

  private boolean recordCold(Runner runner, Duration remaining, String source) {
    Instant now = clock.instant();
    if (!runner.coldStart().recordCold(remaining, now)) {
      return false;
    }
    updateShare(runner, now);
    metrics.count("relay.runner_cold");
    log.info(
        "runner_cold",
        event ->
            event
                .with("runner", runner.id())
                .with("zone", runner.info().zone())
                .with("left_ms", runner.coldStart().remaining(now).toMillis())
                .with("share_per_second", runner.coldStart().sharePerSecond())
                .with("source", source));
    return true;
  }

  /** Returns the number of runners that count as cold. */
  int count() {
    Instant now = clock.instant();
    return (int) runners.all().stream().filter(r -> r.coldStart().isCold(now)).count();
  }

  /** Adapts this node's shares to the registered nodes and the configuration. */
  void updateShares() {
    Instant now = clock.instant();
    runners.all().stream()
        .filter(runner -> runner.coldStart().isCold(now))
        .forEach(runner -> updateShare(runner, now));
  }

  private void updateShare(Runner runner, Instant now) {
    OptionalDouble share =
        coldStarts.apply(runner.info().service()).stream()
            .mapToDouble(
                coldStart ->
                    limits.share(runner.id(), coldStart.requestsPerSecond(), node, registeredNodes))
            .findFirst();
    runner.coldStart().setShare(share, now);
  }
}
