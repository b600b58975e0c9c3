package org.dragonflyhill.daemon;

import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.List;
import java.util.Random;
import org.dragonflyhill.core.ConfigurationObject.Model;
import org.dragonflyhill.core.HedgeDelay;
import org.dragonflyhill.core.ObjectKind;
import org.dragonflyhill.core.PieceKeys;
import org.dragonflyhill.core.RetryBudget;

/**
 * Creates the chain of filters and handlers for requests.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class RequestChainFactory {

  private final DaemonSettings settings;
  private final NodePorts ports;
  private final NodeState state;
  private final NodeMetrics metrics;
  private final DrainController drain;
  private final DecisionJournal journal;
  private final InstantSource clock;

  RequestChainFactory(
      DaemonSettings settings,
      NodePorts ports,
      NodeState state,
      NodeMetrics metrics,
      DrainController drain,
      DecisionJournal journal,
      InstantSource clock) {
    this.settings = settings;
    this.ports = ports;
    this.state = state;
    this.metrics = metrics;
    this.drain = drain;
    this.journal = journal;
    this.clock = clock;
  }

  /** Creates the chain, from authentication to the handlers that call the endpoints. */
  RequestFilter.Handler create() {
    ConfigurationController configuration = state.configuration();
    var claimRunner = new ClaimRunner(state.claims(), settings.claimStepFault(), drain, clock);
    StageTimers timers = new StageTimers(metrics);
    var admission =
        new AdmissionFilter(
            state.admission(),
            drain,
            model -> configuration.find(ObjectKind.MODEL, model, Model.class).isPresent(),
            state::liveNodes);
    List<RequestFilter> filters =
        List.of(
            timers.timed("authenticate", new AuthenticationFilter(configuration)),
            timers.timed("classify", new ClassificationFilter(configuration, clock)),
            new DecisionJournalFilter(journal),
            timers.timed("admit", admission),
            timers.timed("claim", new ClaimFilter(state.claims(), claimRunner, clock)));
    Dispatcher dispatcher = new Dispatcher(completionHandler(), serviceHandler());
    return RequestFilter.chain(filters, timers.timed("dispatch", dispatcher));
  }

  private ServiceHandler serviceHandler() {
    return new ServiceHandler(state.configuration(), state.endpoints(), ports.services(), clock);
  }

  private CompletionHandler completionHandler() {
    Random random = new Random();
    var dependencies =
        new CompletionDependencies(
            state.endpoints(),
            Placer.of(placementController(random)),
            ports.runners(),
            new RetryBudget(),
            new HedgeDelay(),
            metrics,
            journal,
            random,
            clock);
    return new CompletionHandler(state.configuration(), dependencies, new CompletionReplies());
  }

  private PlacementController placementController(Random random) {
    byte[] secret = settings.secret().getBytes(StandardCharsets.UTF_8);
    return new PlacementController(
        state.configuration(),
        state.endpoints(),
        state.cache(),
        state.stores(),
        state.exports(),
        state.links(),
        new QueueWaitEstimator(state.endpoints(), state::liveNodes),
        metrics,
        new PieceKeys(secret, PieceKeys.DEFAULT_PIECE_TOKENS),
        random);
  }
}
