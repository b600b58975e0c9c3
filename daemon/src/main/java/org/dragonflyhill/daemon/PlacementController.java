package org.dragonflyhill.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dragonflyhill.core.ConfigurationObject.Model;
import org.dragonflyhill.core.ConfigurationObject.Runner;
import org.dragonflyhill.core.ObjectKind;
import org.dragonflyhill.core.PieceKeys;
import org.dragonflyhill.core.Placement;
import org.dragonflyhill.platform.RunnerPort;

/**
 * Chooses the runner of a completion and what it should import, from the state of this node.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class PlacementController {

  private static final Duration LATENCY = Duration.ofMillis(1);

  private final ConfigurationController configuration;
  private final EndpointController endpoints;
  private final CacheController cache;
  private final PieceKeys pieceKeys;

  /** Creates a controller. */
  public PlacementController(
      ConfigurationController configuration,
      EndpointController endpoints,
      CacheController cache,
      PieceKeys pieceKeys) {
    this.configuration = configuration;
    this.endpoints = endpoints;
    this.cache = cache;
    this.pieceKeys = pieceKeys;
  }

  /**
   * Places a completion.
   *
   * @param context the request, classified
   * @param model its model
   * @param call what is asked for
   * @param excluded names of runners that already failed this request
   * @param now present time
   */
  public Optional<Placed> place(
      RequestContext context,
      Model model,
      Call.Completion call,
      Set<String> excluded,
      Instant now) {
    List<PieceKeys.Piece> pieces = pieces(context, model, call);
    List<Placement.Candidate> candidates = new ArrayList<>();
    for (Runner runner : configuration.state().all(Runner.class)) {
      if (runner.model().equals(model.name())
          && !excluded.contains(runner.name())
          && endpoints.isUsable(runner.name(), runner.administrativeState(), now)) {
        candidates.add(candidate(model, runner, pieces));
      }
    }
    RequestContext.Treatment treatment = context.requiredTreatment();
    var weights = new Placement.Weights(treatment.firstTokenWeight(), treatment.recomputeWeight());
    var request =
        new Placement.Request(
            PieceKeys.tokens(call.prompt()),
            model.prefillTokensPerSecond(),
            model.cacheBytesPerToken());
    return new Placement(weights)
        .choose(request, candidates)
        .flatMap(choice -> placed(choice, pieces));
  }

  private Placement.Candidate candidate(Model model, Runner runner, List<PieceKeys.Piece> pieces) {
    long cached = (long) cache.prefixPieces(runner.name(), pieces) * PieceKeys.DEFAULT_PIECE_TOKENS;
    return new Placement.Candidate(
        runner.name(), queueWait(model, runner), LATENCY, cached, 0, runner.linkBytesPerSecond());
  }

  private Duration queueWait(Model model, Runner runner) {
    long queuedTokens = endpoints.load(runner.name()).map(RunnerPort.Load::queuedTokens).orElse(0L);
    int waiting = Math.max(0, endpoints.inFlight(runner.name()) + 1 - runner.slots());
    long tokens = queuedTokens + (long) waiting * PieceKeys.DEFAULT_PIECE_TOKENS;
    return Duration.ofMillis(tokens * 1_000 / model.prefillTokensPerSecond());
  }

  /** Notes that a placed completion was served whole. */
  public void served(Placed placed) {
    cache.computed(placed.runner().name(), placed.pieces());
  }

  private List<PieceKeys.Piece> pieces(RequestContext context, Model model, Call.Completion call) {
    var scope =
        new PieceKeys.Scope(
            context.requiredOrganisation().name(), model.name(), "", model.weightVersion());
    return pieceKeys.pieces(scope, call.prompt());
  }

  private Optional<Placed> placed(Placement.Choice choice, List<PieceKeys.Piece> pieces) {
    return configuration
        .find(ObjectKind.RUNNER, choice.runner(), Runner.class)
        .map(runner -> new Placed(runner, pieces, List.of(), choice));
  }

  /**
   * A completion's place.
   *
   * @param runner the runner
   * @param pieces full pieces of the prompt, in order
   * @param imports pieces that the runner should fetch first
   * @param choice estimate behind the decision
   */
  public record Placed(
      Runner runner,
      List<PieceKeys.Piece> pieces,
      List<RunnerPort.PieceImport> imports,
      Placement.Choice choice) {}
}
