package org.dragonflyhill.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dragonflyhill.core.ConfigurationObject.Model;
import org.dragonflyhill.core.ConfigurationObject.Runner;
import org.dragonflyhill.core.ConfigurationObject.Store;
import org.dragonflyhill.core.ConfigurationObject.Urgency;
import org.dragonflyhill.core.PieceIndex;
import org.dragonflyhill.core.PieceKeys;
import org.dragonflyhill.core.PieceManifest;
import org.dragonflyhill.core.Placement;
import org.dragonflyhill.core.StoreIndex;
import org.dragonflyhill.ports.RunnerPort;

/**
 * Chooses the runner of a completion and the pieces that the runner should import, based on the
 * load, caches, stores and links as this node knows them.
 *
 * <p>Thread-safe. Arguments must not be null.
 */
public final class PlacementController {

  private static final Duration RUNNER_LATENCY = Duration.ofMillis(1);

  private final ConfigurationController configuration;
  private final EndpointController endpoints;
  private final CacheController cache;
  private final StoreController stores;
  private final ExportController exports;
  private final LinkController links;
  private final QueueWaitEstimator queueWaits;
  private final NodeMetrics metrics;
  private final PieceKeys pieceKeys;
  private final RandomGenerator random;

  /** Creates a controller. */
  public PlacementController(
      ConfigurationController configuration,
      EndpointController endpoints,
      CacheController cache,
      StoreController stores,
      ExportController exports,
      LinkController links,
      QueueWaitEstimator queueWaits,
      NodeMetrics metrics,
      PieceKeys pieceKeys,
      RandomGenerator random) {
    this.configuration = configuration;
    this.endpoints = endpoints;
    this.cache = cache;
    this.stores = stores;
    this.exports = exports;
    this.links = links;
    this.queueWaits = queueWaits;
    this.metrics = metrics;
    this.pieceKeys = pieceKeys;
    this.random = random;
  }

  /**
   * Chooses a runner for an attempt at a completion, or returns empty if no runner is usable.
   *
   * @param context the request, after authentication and classification
   * @param model the model of the request
   * @param call the parsed request
   * @param excluded names of runners that must not be chosen
   * @param now the current time
   */
  public Optional<PlacedAttempt> place(
      RequestContext context,
      Model model,
      Call.Completion call,
      Set<String> excluded,
      Instant now) {
    PlacementInput input = placementInput(context, model, call, now);
    List<RunnerOption> options = new ArrayList<>();
    for (Runner runner : configuration.view().runnersOf(model.name())) {
      if (!excluded.contains(runner.name())
          && endpoints.isUsable(runner.name(), runner.administrativeState(), now)) {
        options.add(option(input, runner));
      }
    }
    RequestContext.Classification classification = context.requiredClassification();
    var weights =
        new Placement.Weights(classification.firstTokenWeight(), classification.recomputeWeight());
    var request =
        new Placement.Request(
            PieceKeys.estimateTokens(call.prompt()),
            model.prefillTokensPerSecond(),
            model.cacheBytesPerToken());
    return new Placement(weights)
        .choose(request, options.stream().map(RunnerOption::candidate).toList(), random)
        .flatMap(choice -> placeOn(input, choice, options));
  }

  private RunnerOption option(PlacementInput input, Runner runner) {
    int cachedCount = cache.prefixPieces(runner.name(), input.fingerprints);
    List<StoreIndex.StoredPiece> importable = importable(input, runner, cachedCount);
    var candidate =
        new Placement.Candidate(
            runner.name(),
            queueWaits.queueWait(runner, input.model, input.isUrgent, input.now),
            RUNNER_LATENCY,
            tokens(cachedCount),
            tokens(importable.size()),
            linkBytesPerSecond(input, runner, importable));
    return new RunnerOption(runner, candidate, importable);
  }

  private List<StoreIndex.StoredPiece> importable(
      PlacementInput input, Runner runner, int cachedCount) {
    if (!cache.verifiesImports(runner.name())) {
      // An engine that does not verify imports would use a damaged piece without noticing.
      return List.of();
    }
    return stores.findPrefix(
        input.pieces, cachedCount, input.pieceFilter, input.usableStores, input.now);
  }

  private long linkBytesPerSecond(
      PlacementInput input, Runner runner, List<StoreIndex.StoredPiece> importable) {
    long bytes = tokens(importable.size()) * input.model.cacheBytesPerToken();
    return importable.stream()
        .flatMap(piece -> stores.findStore(piece.store()).stream())
        .distinct()
        .mapToLong(store -> links.estimateBytesPerSecond(runner, store, bytes, input.now))
        .min()
        .orElse(Math.max(1, runner.linkBytesPerSecond()));
  }

  private static long tokens(int pieces) {
    return (long) pieces * PieceKeys.DEFAULT_PIECE_TOKENS;
  }

  /**
   * Records that an attempt ended with a complete response.
   *
   * @param attempt the attempt
   * @param importedTokens number of tokens that the runner reports as imported
   * @param now the current time
   */
  public void recordServed(PlacedAttempt attempt, long importedTokens, Instant now) {
    queueWaits.recordSlotTime(Duration.between(attempt.placedAt(), now));
    cache.recordComputed(attempt.runner().name(), attempt.pieces());
    exports.offer(attempt.exportable());
    int importedCount = (int) (importedTokens / PieceKeys.DEFAULT_PIECE_TOKENS);
    metrics.count("import.pieces", importedCount);
    if (importedCount < attempt.importSources().size()) {
      stores.recordImportFailed(attempt.importSources().get(importedCount));
    }
  }

  private PlacementInput placementInput(
      RequestContext context, Model model, Call.Completion call, Instant now) {
    String organisation = context.requiredOrganisation().name();
    var scope = new PieceKeys.Scope(organisation, model.name(), "", model.weightVersion());
    List<PieceKeys.Piece> pieces = pieceKeys.pieces(scope, call.prompt());
    var pieceFilter =
        new StoreIndex.PieceFilter(pieceKeys.organisationTag(organisation), model.weightVersion());
    String group = organisation + "/" + context.requiredClassification().task();
    return new PlacementInput(
        model,
        pieces,
        PieceIndex.fingerprints(pieces),
        pieceFilter,
        stores.usableStoreNames(now),
        group,
        context.requiredClassification().urgency() == Urgency.URGENT,
        now);
  }

  private Optional<PlacedAttempt> placeOn(
      PlacementInput input, Placement.Choice choice, List<RunnerOption> options) {
    return options.stream()
        .filter(option -> option.runner.name().equals(choice.runner()))
        .findFirst()
        .map(option -> placeOn(input, choice, option));
  }

  private PlacedAttempt placeOn(
      PlacementInput input, Placement.Choice choice, RunnerOption option) {
    int count = (int) (choice.importTokens() / PieceKeys.DEFAULT_PIECE_TOKENS);
    List<StoreIndex.StoredPiece> importSources = option.importable.subList(0, count);
    List<RunnerPort.PieceImport> imports = new ArrayList<>();
    for (StoreIndex.StoredPiece piece : importSources) {
      Optional<Store> store = stores.findStore(piece.store());
      if (store.isEmpty()) {
        break;
      }
      long bytes = tokens(1) * input.model.cacheBytesPerToken();
      links.reserveImport(option.runner, store.get(), bytes, input.now);
      imports.add(pieceImport(store.get(), piece.manifest()));
    }
    stores.recordUsed(importSources, input.now);
    queueWaits.recordSent(
        option.runner, input.model, choice.computeTokens(), input.isUrgent, input.now);
    metrics.count("import.requested", imports.size());
    var exportable =
        new ExportController.CachedPieces(
            option.runner,
            input.model,
            input.group,
            input.pieceFilter.organisationTag(),
            input.pieces);
    return new PlacedAttempt(
        option.runner, input.pieces, imports, choice, importSources, exportable, input.now);
  }

  private static RunnerPort.PieceImport pieceImport(Store store, PieceManifest manifest) {
    return new RunnerPort.PieceImport(
        manifest.pieceId(),
        store.address(),
        manifest.objectName(),
        manifest.length(),
        manifest.sha256());
  }

  /** The part of the input of a placement that is the same for all runners. */
  private record PlacementInput(
      Model model,
      List<PieceKeys.Piece> pieces,
      long[] fingerprints,
      StoreIndex.PieceFilter pieceFilter,
      Set<String> usableStores,
      String group,
      boolean isUrgent,
      Instant now) {}

  /** A runner that could serve the request, with the stored pieces that it could import. */
  private record RunnerOption(
      Runner runner, Placement.Candidate candidate, List<StoreIndex.StoredPiece> importable) {}

  /**
   * An attempt at a completion and the runner chosen for it.
   *
   * @param runner the chosen runner
   * @param pieces the full pieces of the prompt, in order
   * @param imports the pieces that the runner should import before the prefill
   * @param choice the estimates behind the decision
   * @param importSources the stored pieces that were chosen for import
   * @param exportable the pieces that may be exported after the request is served
   * @param placedAt time of the decision
   */
  public record PlacedAttempt(
      Runner runner,
      List<PieceKeys.Piece> pieces,
      List<RunnerPort.PieceImport> imports,
      Placement.Choice choice,
      List<StoreIndex.StoredPiece> importSources,
      ExportController.CachedPieces exportable,
      Instant placedAt) {}
}
