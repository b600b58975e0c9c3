package org.dragonflyhill.daemon;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.core.ConfigurationObject.Model;
import org.dragonflyhill.core.ConfigurationObject.Runner;
import org.dragonflyhill.core.ConfigurationObject.Store;
import org.dragonflyhill.core.ExportPolicy;
import org.dragonflyhill.core.PieceKeys;
import org.dragonflyhill.core.PieceManifest;
import org.dragonflyhill.core.RendezvousHash;
import org.dragonflyhill.ports.CachePort;
import org.dragonflyhill.ports.LogEvent;
import org.dragonflyhill.ports.PlatformError;
import org.dragonflyhill.ports.StorePort;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Exports pieces that are worth keeping from runners to stores, in the background.
 *
 * <p>Each export writes an object with a unique name. The manifest that lists the object is written
 * only after the runner has confirmed that the object is complete. If two nodes export the same
 * piece, the manifest of one is accepted and the other node deletes its own object.
 *
 * <p>Thread-safe. Arguments must not be null.
 */
public final class ExportController implements AutoCloseable {

  /**
   * Time limit for the runner to write an object. Sweeps keep an object without a manifest for at
   * least this long, because its export may still be running.
   */
  public static final Duration EXPORT_TIMEOUT = Duration.ofSeconds(5);

  private static final Logger LOGGER = LogManager.getLogger(ExportController.class);
  private static final Duration START_INTERVAL = Duration.ofMillis(10);
  private static final Duration MAX_QUEUE_TIME = Duration.ofSeconds(30);
  private static final int MAX_QUEUED = 1_000;
  private static final int MAX_CONCURRENT_EXPORTS = 8;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  private final StoreController storeController;
  private final StoreSweepController sweepController;
  private final CachePort caches;
  private final StorePort stores;
  private final LinkController links;
  private final NodeMetrics metrics;
  private final InstantSource clock;
  private final ExportPolicy policy = new ExportPolicy();
  private final Deque<Job> queue = new ArrayDeque<>();
  private final Set<String> pendingPieceIds = new HashSet<>();
  private Disposable exportSubscription = () -> {};

  /** Creates a controller; {@link #start} starts the exports. */
  public ExportController(
      StoreController storeController,
      StoreSweepController sweepController,
      CachePort caches,
      StorePort stores,
      LinkController links,
      NodeMetrics metrics,
      InstantSource clock) {
    this.storeController = storeController;
    this.sweepController = sweepController;
    this.caches = caches;
    this.stores = stores;
    this.links = links;
    this.metrics = metrics;
    this.clock = clock;
    metrics.registerGauge("export.queued", this::queueSize);
  }

  /** Starts exporting queued pieces. */
  public synchronized void start() {
    exportSubscription =
        Flux.interval(START_INTERVAL)
            .onBackpressureDrop()
            .flatMap(tick -> exportNext(), MAX_CONCURRENT_EXPORTS)
            .subscribe();
  }

  /** Queues those pieces of a served prompt that are worth exporting. */
  public synchronized void offer(CachedPieces cached) {
    Instant now = clock.instant();
    Set<String> usable = storeController.usableStoreNames(now);
    for (int position = 0; position < cached.pieces().size(); position++) {
      PieceKeys.Piece piece = cached.pieces().get(position);
      policy.recordUse(cached.group(), piece.id(), now);
      if (shouldExport(cached, piece, usable)) {
        enqueue(new Job(cached, piece, position, now));
      }
    }
  }

  @Override
  public synchronized void close() {
    exportSubscription.dispose();
  }

  private Mono<Void> exportNext() {
    return Mono.justOrEmpty(nextExport(clock.instant()))
        .flatMap(this::export)
        .onErrorResume(error -> logFailure("export_failed", error));
  }

  private static Mono<Void> logFailure(String event, Throwable error) {
    LogEvent.of(event).with("error", error).warn(LOGGER);
    return Mono.empty();
  }

  private synchronized int queueSize() {
    return queue.size();
  }

  private boolean shouldExport(CachedPieces cached, PieceKeys.Piece piece, Set<String> usable) {
    if (pendingPieceIds.contains(piece.id()) || storeController.isStored(piece.id(), usable)) {
      return false;
    }
    var cost =
        new ExportPolicy.Cost(
            piece.tokens(),
            piece.tokens() * cached.model().cacheBytesPerToken(),
            cached.model().prefillTokensPerSecond(),
            cached.runner().linkBytesPerSecond());
    boolean isWorthIt = policy.isWorthExporting(cached.group(), cost);
    if (!isWorthIt) {
      metrics.count("export.not_worth_it");
    }
    return isWorthIt;
  }

  private void enqueue(Job job) {
    if (queue.size() >= MAX_QUEUED) {
      metrics.count("export.queue_full");
      return;
    }
    pendingPieceIds.add(job.piece.id());
    queue.add(job);
  }

  /**
   * Takes the first job of the queue. It is dropped if it waited too long, and moved to the end of
   * the queue if no store is usable yet or if its links are busy.
   */
  private synchronized Optional<Export> nextExport(Instant now) {
    Job job = queue.poll();
    if (job == null) {
      return Optional.empty();
    }
    Optional<Store> store = storeFor(job.piece.id(), now);
    if (job.offeredAt.plus(MAX_QUEUE_TIME).isBefore(now)) {
      metrics.count(store.isEmpty() ? "export.no_store" : "export.waited_too_long");
      pendingPieceIds.remove(job.piece.id());
      return Optional.empty();
    }
    long bytes = job.piece.tokens() * job.cached.model().cacheBytesPerToken();
    if (store.isEmpty() || !links.tryReserveExport(job.cached.runner(), store.get(), bytes, now)) {
      queue.add(job);
      return Optional.empty();
    }
    metrics.count("export.started");
    String objectName = job.piece.id() + "-" + UUID.randomUUID();
    return Optional.of(new Export(job, store.get(), objectName));
  }

  /**
   * Returns the store that rendezvous hashing ranks first for a piece. All nodes compute the same
   * ranking, so exports of the same piece by several nodes go to the same store.
   */
  private Optional<Store> storeFor(String pieceId, Instant now) {
    Map<String, Store> usable =
        storeController.usableStores(now).stream()
            .collect(Collectors.toMap(Store::name, Function.identity()));
    return RendezvousHash.rank(pieceId, usable.keySet()).stream().findFirst().map(usable::get);
  }

  private Mono<Void> export(Export export) {
    var request =
        new CachePort.ExportRequest(
            export.job.piece.id(),
            export.job.cached.model().weightVersion(),
            export.store.address(),
            export.objectName);
    return caches
        .export(export.job.cached.runner().address(), request, EXPORT_TIMEOUT)
        .flatMap(
            answer ->
                answer.fold(
                    error -> handleExportError(export, error),
                    exported -> putManifest(export, exported)))
        .doFinally(signal -> finish(export));
  }

  private synchronized void finish(Export export) {
    pendingPieceIds.remove(export.job.piece.id());
  }

  private Mono<Void> handleExportError(Export export, PlatformError error) {
    boolean isEvicted =
        error instanceof PlatformError.Refused refused && refused.status() == NOT_FOUND;
    metrics.count(isEvicted ? "export.evicted" : "export.failed");
    if (isEvicted || error.isWithoutEffect()) {
      return Mono.empty();
    }
    // The runner may still finish the write after this deletion. The sweep for objects without a
    // manifest deletes the object in that case.
    sweepController.deleteAfterLease(export.store.name(), export.objectName, 0);
    return Mono.empty();
  }

  private Mono<Void> putManifest(Export export, CachePort.ExportResult exported) {
    PieceManifest manifest = export.manifest(exported);
    return stores
        .putManifest(export.store.address(), manifest)
        .flatMap(answer -> handlePutAnswer(export, manifest, answer));
  }

  private Mono<Void> handlePutAnswer(
      Export export, PieceManifest manifest, Either<PlatformError, Boolean> answer) {
    if (answer.isRight()) {
      return recordListed(export, manifest);
    }
    if (answer.getLeft() instanceof PlatformError.Refused refused && refused.status() == CONFLICT) {
      metrics.count("export.already_listed");
      // The object can be deleted at once: no manifest ever named it, so nobody is reading it.
      return stores.deleteObject(export.store.address(), export.objectName).then();
    }
    metrics.count("export.manifest_unanswered");
    return stores
        .findManifest(export.store.address(), manifest.pieceId())
        .flatMap(found -> handleFoundManifest(export, manifest, found));
  }

  private Mono<Void> handleFoundManifest(
      Export export, PieceManifest manifest, Either<PlatformError, Optional<PieceManifest>> found) {
    boolean isListed = found.isRight() && found.get().equals(Optional.of(manifest));
    if (isListed) {
      return recordListed(export, manifest);
    }
    sweepController.deleteAfterLease(export.store.name(), export.objectName, 0);
    return Mono.empty();
  }

  private Mono<Void> recordListed(Export export, PieceManifest manifest) {
    metrics.count("export.listed");
    storeController.recordListed(export.store.name(), manifest);
    return Mono.empty();
  }

  /**
   * Pieces of a prompt that are in the cache of a runner.
   *
   * @param runner the runner
   * @param model the runner's model, with the weight version that computed the pieces
   * @param group organisation and task; the probability of reuse is learned for each group
   * @param organisationTag keyed hash of the organisation
   * @param pieces the full pieces of the prompt, in order
   */
  public record CachedPieces(
      Runner runner,
      Model model,
      String group,
      String organisationTag,
      List<PieceKeys.Piece> pieces) {}

  private record Job(CachedPieces cached, PieceKeys.Piece piece, int position, Instant offeredAt) {}

  private record Export(Job job, Store store, String objectName) {

    PieceManifest manifest(CachePort.ExportResult exported) {
      return new PieceManifest(
          job.piece.id(),
          objectName,
          exported.length(),
          exported.sha256(),
          job.cached.organisationTag(),
          job.cached.model().weightVersion(),
          job.piece.tokens(),
          job.position);
    }
  }
}
