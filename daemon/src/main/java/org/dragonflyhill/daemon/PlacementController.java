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
 * Chooses the runner of a completion and what it should import, from the state of this node.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class PlacementController {

  private static final Duration LATENCY = Duration.ofMillis(1);

  private final ConfigurationController configuration;
  private final EndpointController endpoints;
  private final CacheController cache;
  private final StoreController stores;
  private final ExportController exports;
  private final LinkController links;
  private final RunnerLoads loads;
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
      RunnerLoads loads,
      NodeMetrics metrics,
      PieceKeys pieceKeys,
      RandomGenerator random) {
    this.configuration = configuration;
    this.endpoints = endpoints;
    this.cache = cache;
    this.stores = stores;
    this.exports = exports;
    this.links = links;
    this.loads = loads;
    this.metrics = metrics;
    this.pieceKeys = pieceKeys;
    this.random = random;
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
    Prompt prompt = prompt(context, model, call, now);
    List<Plan> plans = new ArrayList<>();
    for (Runner runner : configuration.view().runnersOf(model.name())) {
      if (!excluded.contains(runner.name())
          && endpoints.isUsable(runner.name(), runner.administrativeState(), now)) {
        plans.add(plan(prompt, runner));
      }
    }
    RequestContext.Treatment treatment = context.requiredTreatment();
    var weights = new Placement.Weights(treatment.firstTokenWeight(), treatment.recomputeWeight());
    var request =
        new Placement.Request(
            PieceKeys.estimateTokens(call.prompt()),
            model.prefillTokensPerSecond(),
            model.cacheBytesPerToken());
    return new Placement(weights)
        .choose(request, plans.stream().map(Plan::candidate).toList(), random)
        .flatMap(choice -> placed(prompt, choice, plans));
  }

  private Plan plan(Prompt prompt, Runner runner) {
    int held = cache.prefixPieces(runner.name(), prompt.fingerprints);
    List<StoreIndex.StoredPiece> importable = importable(prompt, runner, held);
    var candidate =
        new Placement.Candidate(
            runner.name(),
            loads.queueWait(runner, prompt.model, prompt.isUrgent, prompt.now),
            LATENCY,
            tokens(held),
            tokens(importable.size()),
            linkBytesPerSecond(prompt, runner, importable));
    return new Plan(runner, candidate, importable);
  }

  private List<StoreIndex.StoredPiece> importable(Prompt prompt, Runner runner, int held) {
    if (!cache.verifiesImports(runner.name())) {
      // Nothing would keep such an engine from using a damaged piece.
      return List.of();
    }
    return stores.prefix(prompt.pieces, held, prompt.wanted, prompt.usableStores, prompt.now);
  }

  private long linkBytesPerSecond(
      Prompt prompt, Runner runner, List<StoreIndex.StoredPiece> importable) {
    long bytes = tokens(importable.size()) * prompt.model.cacheBytesPerToken();
    return importable.stream()
        .flatMap(found -> stores.find(found.store()).stream())
        .distinct()
        .mapToLong(store -> links.bytesPerSecond(runner, store, bytes, prompt.now))
        .min()
        .orElse(Math.max(1, runner.linkBytesPerSecond()));
  }

  private static long tokens(int pieces) {
    return (long) pieces * PieceKeys.DEFAULT_PIECE_TOKENS;
  }

  /**
   * Notes that a placed completion was served whole.
   *
   * @param placed its place
   * @param importedTokens tokens that the runner says it imported
   * @param now present time
   */
  public void served(Placed placed, long importedTokens, Instant now) {
    loads.ended(Duration.between(placed.placedAt(), now));
    cache.computed(placed.runner().name(), placed.pieces());
    exports.offer(placed.kept());
    int used = (int) (importedTokens / PieceKeys.DEFAULT_PIECE_TOKENS);
    metrics.count("import.pieces", used);
    if (used < placed.found().size()) {
      stores.failed(placed.found().get(used));
    }
  }

  private Prompt prompt(RequestContext context, Model model, Call.Completion call, Instant now) {
    String organisation = context.requiredOrganisation().name();
    var scope = new PieceKeys.Scope(organisation, model.name(), "", model.weightVersion());
    List<PieceKeys.Piece> pieces = pieceKeys.pieces(scope, call.prompt());
    var wanted =
        new StoreIndex.PieceFilter(pieceKeys.organisationTag(organisation), model.weightVersion());
    String group = organisation + "/" + context.requiredTreatment().task();
    return new Prompt(
        model,
        pieces,
        PieceIndex.fingerprints(pieces),
        wanted,
        stores.usableNames(now),
        group,
        context.requiredTreatment().urgency() == Urgency.URGENT,
        now);
  }

  private Optional<Placed> placed(Prompt prompt, Placement.Choice choice, List<Plan> plans) {
    return plans.stream()
        .filter(plan -> plan.runner.name().equals(choice.runner()))
        .findFirst()
        .map(plan -> placed(prompt, choice, plan));
  }

  private Placed placed(Prompt prompt, Placement.Choice choice, Plan plan) {
    int count = (int) (choice.importTokens() / PieceKeys.DEFAULT_PIECE_TOKENS);
    List<StoreIndex.StoredPiece> found = plan.importable.subList(0, count);
    List<RunnerPort.PieceImport> imports = new ArrayList<>();
    for (StoreIndex.StoredPiece piece : found) {
      Optional<Store> store = stores.find(piece.store());
      if (store.isEmpty()) {
        break;
      }
      long bytes = tokens(1) * prompt.model.cacheBytesPerToken();
      links.reserve(plan.runner, store.get(), bytes, prompt.now);
      imports.add(pieceImport(store.get(), piece.manifest()));
    }
    stores.used(found, prompt.now);
    loads.sent(plan.runner, prompt.model, choice.computeTokens(), prompt.isUrgent, prompt.now);
    metrics.count("import.requested", imports.size());
    var kept =
        new ExportController.Kept(
            plan.runner,
            prompt.model,
            prompt.group,
            prompt.wanted.organisationTag(),
            prompt.pieces);
    return new Placed(plan.runner, prompt.pieces, imports, choice, found, kept, prompt.now);
  }

  private static RunnerPort.PieceImport pieceImport(Store store, PieceManifest manifest) {
    return new RunnerPort.PieceImport(
        manifest.pieceId(),
        store.address(),
        manifest.objectName(),
        manifest.length(),
        manifest.sha256());
  }

  /** What is to be placed. */
  private record Prompt(
      Model model,
      List<PieceKeys.Piece> pieces,
      long[] fingerprints,
      StoreIndex.PieceFilter wanted,
      Set<String> usableStores,
      String group,
      boolean isUrgent,
      Instant now) {}

  /** What one runner could do. */
  private record Plan(
      Runner runner, Placement.Candidate candidate, List<StoreIndex.StoredPiece> importable) {}

  /**
   * A completion's place.
   *
   * @param runner the runner
   * @param pieces full pieces of the prompt, in order
   * @param imports pieces that the runner should fetch first
   * @param choice estimate behind the decision
   * @param found where the imports are stored
   * @param kept what may be exported once it is served
   * @param placedAt when it was placed
   */
  public record Placed(
      Runner runner,
      List<PieceKeys.Piece> pieces,
      List<RunnerPort.PieceImport> imports,
      Placement.Choice choice,
      List<StoreIndex.StoredPiece> found,
      ExportController.Kept kept,
      Instant placedAt) {}
}
