package org.dragonflyhill.daemon.relay;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflyhill.core.relay.Organisation;
import org.dragonflyhill.core.relay.PartDirectory;
import org.dragonflyhill.core.relay.RelayConfiguration;
import org.dragonflyhill.core.relay.Runner;
import org.dragonflyhill.core.relay.RunnerChoice;
import org.dragonflyhill.core.relay.RunnerInfo;
import org.dragonflyhill.core.relay.RunnerTable;
import org.dragonflyhill.core.relay.Service;
import org.dragonflyhill.core.relay.SharedRetryBudget;
import org.dragonflyhill.daemon.NodeMetrics;

/** What a relaying node knows: the configuration in force, runners, weights and kept parts. */
public final class RelayState {

  /** Nodes that are assumed to share the runners until others are known. */
  public static final int ASSUMED_NODES = 4;

  private final InstantSource clock;
  private final DecisionLog log;
  private final NodeMetrics metrics;
  private final SharedRetryBudget.Limits retryLimits;
  private final RunnerTable runners = new RunnerTable();
  private final PartDirectory parts = new PartDirectory();
  private final RunnerChoice choice;
  private final Map<String, SharedRetryBudget> retryBudgets = new HashMap<>();
  private final Map<String, Long> newestWeights = new HashMap<>();
  private Optional<RelayConfiguration> configuration = Optional.empty();
  private boolean isStopping;

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
    choice = new RunnerChoice(parts, zone);
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

  RunnerChoice choice() {
    return choice;
  }

  /** Returns the configuration in force. */
  public Optional<RelayConfiguration> configuration() {
    return configuration;
  }

  /** Puts a configuration in force unless it is older than the present one. */
  public void configure(RelayConfiguration newer) {
    long known = configuration.map(RelayConfiguration::version).orElse(-1L);
    if (newer.version() <= known) {
      return;
    }
    configuration = Optional.of(newer);
    log.note(
        "configuration_in_force",
        event -> event.with("version", newer.version()).with("before", known));
  }

  /** Notes the newest weight version that was named for a model. */
  public void weightsNamed(String model, long version) {
    long known = newestWeights.getOrDefault(model, 0L);
    if (version > known) {
      newestWeights.put(model, version);
      log.note(
          "weights_named",
          event -> event.with("model", model).with("version", version).with("before", known));
    }
  }

  /** Returns the newest weight version of each model that was named. */
  public Map<String, Long> newestWeights() {
    return newestWeights;
  }

  /** Adds a runner or brings its entry up to date. */
  public void runnerListed(RunnerInfo info) {
    boolean wasOpen = runners.find(info.id()).map(Runner::isOpen).orElse(false);
    boolean isNew = runners.put(info, now());
    if (isNew) {
      parts.forget(info.endpoint());
    }
    if (isNew || wasOpen == info.isDraining()) {
      log.note(
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
  public void runnersGone(List<String> ids) {
    ids.forEach(id -> log.note("runner_gone", event -> event.with("runner", id)));
  }

  /** Returns the retry budget of a service. */
  SharedRetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(service, any -> new SharedRetryBudget(retryLimits));
  }

  /** Returns the number of nodes that share the runners. */
  public int nodes() {
    return ASSUMED_NODES;
  }

  /** Returns all that parts may be fetched from for a service. */
  List<RunnerChoice.Source> sources(String service, Service.Engine engine) {
    List<RunnerChoice.Source> sources = new ArrayList<>();
    for (Runner runner : runners.all()) {
      if (runner.info().service().equals(service) && !runner.isSilent(now())) {
        sources.add(
            new RunnerChoice.Source(
                runner.info().endpoint(), runner.info().zone(), engine.linkBytesPerSecond()));
      }
    }
    return sources;
  }

  /** Names the salt under which cache of a model and version is kept for an organisation. */
  public static String salt(String model, long version, Optional<Organisation> organisation) {
    String wall =
        organisation
            .filter(Organisation::isIsolated)
            .map(isolated -> "#" + isolated.name())
            .orElse("");
    return model + "@" + version + wall;
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
  public void stop() {
    isStopping = true;
  }
}
