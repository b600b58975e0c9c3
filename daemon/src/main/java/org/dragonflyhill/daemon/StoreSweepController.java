package org.dragonflyhill.daemon;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.core.ConfigurationObject.Store;
import org.dragonflyhill.core.PieceManifest;
import org.dragonflyhill.core.RendezvousHash;
import org.dragonflyhill.ports.HostListPort;
import org.dragonflyhill.ports.LogEvent;
import org.dragonflyhill.ports.PlatformError;
import org.dragonflyhill.ports.StorePort;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Evicts pieces from stores that are nearly full and removes what failed exports left behind.
 *
 * <p>To evict a piece, its manifest is deleted first and its object after the read lease, so that
 * no runner is still reading the object. An object without a manifest is deleted after it has been
 * seen without one for the read lease and the time limit of an export. A manifest without an object
 * is deleted immediately.
 *
 * <p>Each store is swept by the live node that rendezvous hashing ranks first for it. Two nodes may
 * sweep the same store at the same time without harm, because every step is conditional or
 * idempotent.
 *
 * <p>Thread-safe. Arguments must not be null.
 */
public final class StoreSweepController implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(StoreSweepController.class);
  private static final Duration DELETION_INTERVAL = Duration.ofMillis(100);
  private static final double HIGH_WATER_MARK = 0.9;
  private static final double LOW_WATER_MARK = 0.8;
  private static final int PAGE_SIZE = 1_000;
  private static final int MAX_CONCURRENT_STORES = 4;
  private static final int MAX_PENDING_DELETIONS = 10_000;
  private static final int MAX_TRACKED_ORPHANS = 10_000;

  private final String node;
  private final MembershipController membership;
  private final StoreController storeController;
  private final StorePort stores;
  private final NodeMetrics metrics;
  private final InstantSource clock;
  private final Settings settings;
  private final Deque<Deletion> pendingDeletions = new ArrayDeque<>();
  private final Map<Deletion.Target, Instant> orphanedSince = new HashMap<>();
  private Disposable sweepSubscription = () -> {};

  /** Creates a controller; {@link #start} starts the sweeps. */
  public StoreSweepController(
      String node,
      MembershipController membership,
      StoreController storeController,
      StorePort stores,
      NodeMetrics metrics,
      InstantSource clock,
      Settings settings) {
    this.node = node;
    this.membership = membership;
    this.storeController = storeController;
    this.stores = stores;
    this.metrics = metrics;
    this.clock = clock;
    this.settings = settings;
    metrics.registerGauge("store.pending_deletions", this::pendingDeletionCount);
  }

  /** Starts the periodic sweeps and the deletion of objects whose read lease has passed. */
  public synchronized void start() {
    Disposable sweeps =
        Flux.interval(settings.sweepInterval())
            .onBackpressureDrop()
            .concatMap(tick -> sweepAll(), 1)
            .subscribe();
    Disposable deletions =
        Flux.interval(DELETION_INTERVAL)
            .onBackpressureDrop()
            .concatMap(tick -> deleteDue(), 1)
            .subscribe();
    sweepSubscription = reactor.core.Disposables.composite(sweeps, deletions);
  }

  /**
   * Schedules the deletion of an object for the end of the read lease, when no runner can still be
   * reading it.
   *
   * @param store name of the store
   * @param objectName name of the object
   * @param bytes length of the object, or 0 if it is not known
   */
  public synchronized void deleteAfterLease(String store, String objectName, long bytes) {
    if (pendingDeletions.size() >= MAX_PENDING_DELETIONS) {
      // The sweep for objects without a manifest deletes the object later.
      metrics.count("store.deletions_deferred");
      return;
    }
    Instant due = clock.instant().plus(settings.readLease());
    pendingDeletions.add(new Deletion(new Deletion.Target(store, objectName), due, bytes));
  }

  @Override
  public synchronized void close() {
    sweepSubscription.dispose();
  }

  private synchronized int pendingDeletionCount() {
    return pendingDeletions.size();
  }

  private Mono<Void> deleteDue() {
    return Flux.fromIterable(takeDue(clock.instant()))
        .concatMap(deletion -> delete(deletion.target))
        .then();
  }

  private synchronized List<Deletion> takeDue(Instant now) {
    List<Deletion> due = new ArrayList<>();
    while (!pendingDeletions.isEmpty() && !pendingDeletions.peek().due.isAfter(now)) {
      due.add(pendingDeletions.poll());
    }
    return due;
  }

  private Mono<Void> delete(Deletion.Target target) {
    return Mono.justOrEmpty(storeController.findStore(target.store))
        .flatMap(store -> stores.deleteObject(store.address(), target.objectName))
        .doOnNext(
            answer -> metrics.count(answer.isRight() ? "store.deleted" : "store.delete_failed"))
        .then();
  }

  private Mono<Void> sweepAll() {
    return Flux.fromIterable(storeController.usableStores(clock.instant()))
        .filter(store -> isOwner(store.name()))
        .flatMap(this::sweepStore, MAX_CONCURRENT_STORES)
        .then();
  }

  private Mono<Void> sweepStore(Store store) {
    return makeRoom(store)
        .then(Mono.defer(() -> removeLeftovers(store)))
        .onErrorResume(error -> logFailure(store, error));
  }

  private static Mono<Void> logFailure(Store store, Throwable error) {
    LogEvent.of("store_sweep_failed").with("store", store.name()).with("error", error).warn(LOGGER);
    return Mono.empty();
  }

  private boolean isOwner(String store) {
    Set<String> live =
        membership.liveHosts(HostListPort.Role.NODE).stream()
            .map(HostListPort.Host::name)
            .collect(Collectors.toSet());
    live.add(node);
    return RendezvousHash.rank(store, live).getFirst().equals(node);
  }

  private Mono<Void> makeRoom(Store store) {
    return stores
        .usage(store.address())
        .filter(Either::isRight)
        .flatMapMany(
            answer -> Flux.fromIterable(evictionCandidates(store, answer.get().usedBytes())))
        .concatMap(manifest -> unlist(store, manifest, "store.evicted"))
        .then();
  }

  private List<PieceManifest> evictionCandidates(Store store, long usedBytes) {
    List<PieceManifest> candidates = new ArrayList<>();
    if (usedBytes <= HIGH_WATER_MARK * store.capacityBytes()) {
      return candidates;
    }
    long excess = usedBytes - (long) (LOW_WATER_MARK * store.capacityBytes()) - pendingBytes(store);
    for (PieceManifest manifest : storeController.evictionOrder(store.name())) {
      if (excess <= 0) {
        break;
      }
      excess -= manifest.length();
      candidates.add(manifest);
    }
    return candidates;
  }

  private synchronized long pendingBytes(Store store) {
    return pendingDeletions.stream()
        .filter(deletion -> deletion.target.store.equals(store.name()))
        .mapToLong(Deletion::bytes)
        .sum();
  }

  private Mono<Void> unlist(Store store, PieceManifest manifest, String counter) {
    return stores
        .deleteManifest(store.address(), manifest.pieceId(), manifest.objectName())
        .doOnNext(answer -> afterUnlist(store, manifest, counter, answer))
        .then();
  }

  private void afterUnlist(
      Store store, PieceManifest manifest, String counter, Either<PlatformError, Boolean> answer) {
    if (answer.isRight()) {
      metrics.count(counter);
      storeController.recordUnlisted(store.name(), manifest.pieceId());
      deleteAfterLease(store.name(), manifest.objectName(), manifest.length());
    }
  }

  private Mono<Void> removeLeftovers(Store store) {
    return Mono.zip(allObjectNames(store), allManifests(store))
        .flatMap(both -> removeLeftovers(store, both.getT1(), both.getT2()));
  }

  private Mono<Void> removeLeftovers(
      Store store, Set<String> objects, List<PieceManifest> manifests) {
    Set<String> listed =
        manifests.stream().map(PieceManifest::objectName).collect(Collectors.toSet());
    Set<String> orphanNames = new HashSet<>(objects);
    orphanNames.removeAll(listed);
    Flux<Void> deleted =
        Flux.fromIterable(expiredOrphans(store.name(), orphanNames, clock.instant()))
            .doOnNext(target -> metrics.count("store.orphans_deleted"))
            .concatMap(this::delete);
    List<PieceManifest> suspects =
        manifests.stream().filter(manifest -> !objects.contains(manifest.objectName())).toList();
    return deleted.then(Mono.defer(() -> unlistMissing(store, suspects)));
  }

  /**
   * Deletes the manifests whose objects are missing. The objects are listed again first, because an
   * object may have been written after the first listing, and its manifest listed after that.
   */
  private Mono<Void> unlistMissing(Store store, List<PieceManifest> suspects) {
    if (suspects.isEmpty()) {
      return Mono.empty();
    }
    return allObjectNames(store)
        .flatMapIterable(
            names ->
                suspects.stream()
                    .filter(manifest -> !names.contains(manifest.objectName()))
                    .toList())
        .concatMap(manifest -> unlist(store, manifest, "store.manifests_without_object"))
        .then();
  }

  /**
   * Returns the objects that have been without a manifest for longer than an export and a read can
   * take.
   */
  private synchronized List<Deletion.Target> expiredOrphans(
      String store, Set<String> orphanNames, Instant now) {
    orphanedSince
        .keySet()
        .removeIf(target -> target.store.equals(store) && !orphanNames.contains(target.objectName));
    for (String name : orphanNames) {
      if (orphanedSince.size() < MAX_TRACKED_ORPHANS) {
        orphanedSince.putIfAbsent(new Deletion.Target(store, name), now);
      }
    }
    Duration grace = settings.readLease().plus(ExportController.EXPORT_TIMEOUT);
    return orphanedSince.entrySet().stream()
        .filter(entry -> entry.getKey().store.equals(store))
        .filter(entry -> entry.getValue().plus(grace).isBefore(now))
        .map(Map.Entry::getKey)
        .toList();
  }

  private Mono<Set<String>> allObjectNames(Store store) {
    return stores
        .listObjects(store.address(), "", PAGE_SIZE)
        .expand(
            answer ->
                answer.isRight() && !answer.get().isLast()
                    ? stores.listObjects(
                        store.address(), answer.get().objects().getLast().name(), PAGE_SIZE)
                    : Mono.empty())
        .collectList()
        .filter(pages -> pages.getLast().isRight())
        .map(
            pages ->
                pages.stream()
                    .flatMap(page -> page.get().objects().stream())
                    .map(StorePort.StoredObject::name)
                    .collect(Collectors.toSet()));
  }

  private Mono<List<PieceManifest>> allManifests(Store store) {
    return stores
        .listManifests(store.address(), "", PAGE_SIZE)
        .expand(
            answer ->
                answer.isRight() && !answer.get().isLast()
                    ? stores.listManifests(
                        store.address(), answer.get().manifests().getLast().pieceId(), PAGE_SIZE)
                    : Mono.empty())
        .collectList()
        .filter(pages -> pages.getLast().isRight())
        .map(pages -> pages.stream().flatMap(page -> page.get().manifests().stream()).toList());
  }

  /**
   * Timing of the sweeps.
   *
   * @param readLease maximum time from the choice of a stored piece to the end of its read
   * @param sweepInterval time between two sweeps of the stores
   */
  public record Settings(Duration readLease, Duration sweepInterval) {}

  private record Deletion(Target target, Instant due, long bytes) {

    private record Target(String store, String objectName) {}
  }
}
