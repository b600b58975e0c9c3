package org.dragonflyhill.daemon;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.core.ConfigurationObject.Store;
import org.dragonflyhill.core.ObjectKind;
import org.dragonflyhill.core.PieceKeys;
import org.dragonflyhill.core.PieceManifest;
import org.dragonflyhill.core.StoreIndex;
import org.dragonflyhill.ports.LogEvent;
import org.dragonflyhill.ports.PlatformError;
import org.dragonflyhill.ports.StorePort;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Keeps the index of stored pieces up to date by polling the stores for changes of their manifests.
 *
 * <p>A store that stops responding or is removed from the configuration is dropped from the index.
 * When it responds again, all of its manifests are read anew. A store that is leaving stays in the
 * index but does not count as usable.
 *
 * <p>Thread-safe. Arguments must not be null.
 */
public final class StoreController implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(StoreController.class);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(250);
  private static final Duration IMPORT_RETRY_DELAY = Duration.ofMinutes(1);
  private static final int MAX_CONCURRENT_POLLS = 32;
  private static final int PAGE_SIZE = 1_000;
  private static final int MAX_MANIFESTS = 50_000;
  private static final int MAX_FAILED_POLLS = 2;

  private final ConfigurationController configuration;
  private final EndpointController endpoints;
  private final StorePort stores;
  private final NodeMetrics metrics;
  private final InstantSource clock;
  private final StoreIndex index = new StoreIndex(MAX_MANIFESTS, IMPORT_RETRY_DELAY);
  private final Map<String, Cursor> cursors = new HashMap<>();
  private final Map<String, Integer> failedPolls = new HashMap<>();
  private Disposable polling = () -> {};

  /** Creates a controller; {@link #start} starts the polling. */
  public StoreController(
      ConfigurationController configuration,
      EndpointController endpoints,
      StorePort stores,
      NodeMetrics metrics,
      InstantSource clock) {
    this.configuration = configuration;
    this.endpoints = endpoints;
    this.stores = stores;
    this.metrics = metrics;
    this.clock = clock;
    metrics.registerGauge("store.index_entries", this::indexSize);
  }

  /** Starts polling the stores. */
  public synchronized void start() {
    polling =
        Flux.interval(Duration.ZERO, POLL_INTERVAL)
            .onBackpressureDrop()
            .concatMap(tick -> pollAll(), 1)
            .subscribe();
  }

  /**
   * Finds the consecutive stored pieces of a prompt that follow the pieces a runner already has.
   *
   * @param pieces all pieces of the prompt
   * @param from number of leading pieces that need no import
   * @param filter the organisation and weight version that the pieces must belong to
   * @param usable names of the stores that may be read
   * @param now the current time
   */
  public synchronized List<StoreIndex.StoredPiece> findPrefix(
      List<PieceKeys.Piece> pieces,
      int from,
      StoreIndex.PieceFilter filter,
      Set<String> usable,
      Instant now) {
    return index.findPrefix(pieces, from, filter, usable::contains, now);
  }

  /** Returns whether at least one of the given stores lists a piece. */
  public synchronized boolean isStored(String pieceId, Set<String> usable) {
    return usable.stream().anyMatch(store -> index.holds(store, pieceId));
  }

  /** Returns the names of the stores that may get new requests. */
  public Set<String> usableStoreNames(Instant now) {
    return usableStores(now).stream().map(Store::name).collect(Collectors.toSet());
  }

  /** Returns the stores that may get new requests. */
  public List<Store> usableStores(Instant now) {
    return configuration.state().all(Store.class).stream()
        .filter(store -> isUsableStore(store.name(), now))
        .toList();
  }

  /** Finds a store in the configuration by its name. */
  public Optional<Store> findStore(String store) {
    return configuration.find(ObjectKind.STORE, store, Store.class);
  }

  /** Records a manifest that this node wrote. */
  public synchronized void recordListed(String store, PieceManifest manifest) {
    index.put(store, manifest, clock.instant());
  }

  /** Records that this node deleted the manifest of a piece. */
  public synchronized void recordUnlisted(String store, String pieceId) {
    index.remove(store, pieceId);
  }

  /** Records that a request is about to import pieces. */
  public synchronized void recordUsed(List<StoreIndex.StoredPiece> pieces, Instant now) {
    pieces.forEach(piece -> index.markUsed(piece, now));
  }

  /** Records that a runner did not import a piece although it was asked to. */
  public synchronized void recordImportFailed(StoreIndex.StoredPiece piece) {
    metrics.count("import.failed");
    index.markImportFailed(piece, clock.instant());
  }

  /** Returns the manifests of a store in the order in which they should be evicted. */
  public synchronized List<PieceManifest> evictionOrder(String store) {
    return index.evictionOrder(store);
  }

  @Override
  public synchronized void close() {
    polling.dispose();
  }

  private synchronized int indexSize() {
    return index.size();
  }

  private boolean isUsableStore(String name, Instant now) {
    return hasCursor(name)
        && findStore(name)
            .filter(store -> endpoints.isUsable(name, store.administrativeState(), now))
            .isPresent();
  }

  private synchronized boolean hasCursor(String name) {
    return cursors.containsKey(name);
  }

  private Mono<Void> pollAll() {
    List<Store> configured = configuration.state().all(Store.class);
    dropRemovedStores(configured);
    return Flux.fromIterable(configured).flatMap(this::poll, MAX_CONCURRENT_POLLS).then();
  }

  private synchronized void dropRemovedStores(List<Store> configured) {
    var names = configured.stream().map(Store::name).collect(Collectors.toSet());
    List.copyOf(cursors.keySet()).stream()
        .filter(name -> !names.contains(name))
        .forEach(this::drop);
  }

  private synchronized void drop(String store) {
    cursors.remove(store);
    index.removeStore(store);
  }

  private Mono<Void> poll(Store store) {
    Optional<Cursor> cursor = cursor(store);
    Mono<Void> poll = cursor.isEmpty() ? resync(store) : pollChanges(store, cursor.get());
    return poll.onErrorResume(error -> logPollFailure(store, error));
  }

  private static Mono<Void> logPollFailure(Store store, Throwable error) {
    LogEvent.of("store_poll_failed").with("store", store.name()).with("error", error).warn(LOGGER);
    return Mono.empty();
  }

  private synchronized Optional<Cursor> cursor(Store store) {
    return Optional.ofNullable(cursors.get(store.name()));
  }

  private Mono<Void> pollChanges(Store store, Cursor cursor) {
    return stores
        .changes(store.address(), cursor.epoch, cursor.next, PAGE_SIZE)
        .flatMap(
            answer ->
                answer.fold(
                    error -> recordFailedPoll(store, error), page -> apply(store, cursor, page)));
  }

  private Mono<Void> apply(Store store, Cursor cursor, StorePort.ChangePage page) {
    if (!page.epoch().equals(cursor.epoch) || hasGap(cursor, page)) {
      metrics.count("store.resyncs");
      return resync(store);
    }
    synchronized (this) {
      failedPolls.remove(store.name());
      page.changes().forEach(change -> applyChange(store.name(), change));
      cursors.put(store.name(), new Cursor(cursor.epoch, page.next()));
    }
    return Mono.empty();
  }

  private void applyChange(String store, StorePort.Change change) {
    change
        .manifest()
        .ifPresentOrElse(
            manifest -> index.put(store, manifest, clock.instant()),
            () -> index.remove(store, change.pieceId()));
  }

  private static boolean hasGap(Cursor cursor, StorePort.ChangePage page) {
    long expected = cursor.next;
    for (StorePort.Change change : page.changes()) {
      if (change.sequence() != expected) {
        return true;
      }
      expected++;
    }
    return page.next() != expected || page.earliest() > cursor.next;
  }

  private Mono<Void> resync(Store store) {
    return manifestPage(store, "")
        .expand(
            answer ->
                answer.isRight() && !answer.get().isLast()
                    ? manifestPage(store, answer.get().manifests().getLast().pieceId())
                    : Mono.empty())
        .collectList()
        .flatMap(pages -> replace(store, pages));
  }

  private Mono<Either<PlatformError, StorePort.ManifestPage>> manifestPage(
      Store store, String after) {
    return stores.listManifests(store.address(), after, PAGE_SIZE);
  }

  private Mono<Void> replace(
      Store store, List<Either<PlatformError, StorePort.ManifestPage>> pages) {
    if (pages.getLast().isLeft()) {
      return recordFailedPoll(store, pages.getLast().getLeft());
    }
    List<PieceManifest> manifests = new ArrayList<>();
    pages.forEach(page -> manifests.addAll(page.get().manifests()));
    // Manifests may have changed while the pages were read. Polling continues from the sequence
    // number of the first page, so that these changes are applied again.
    StorePort.ManifestPage first = pages.getFirst().get();
    synchronized (this) {
      failedPolls.remove(store.name());
      index.replace(store.name(), manifests, clock.instant());
      cursors.put(store.name(), new Cursor(first.epoch(), first.nextSequence()));
    }
    return Mono.empty();
  }

  private synchronized Mono<Void> recordFailedPoll(Store store, PlatformError error) {
    metrics.count("store.failed_polls");
    int failed = failedPolls.merge(store.name(), 1, Integer::sum);
    if (failed >= MAX_FAILED_POLLS || error instanceof PlatformError.NotSent) {
      drop(store.name());
    }
    return Mono.empty();
  }

  private record Cursor(String epoch, long next) {}
}
