package org.dragonflyhill.standins;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dragonflyhill.ports.CachePort;
import org.dragonflyhill.ports.RunnerPort;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The part of the runner stand-in that concerns its prefix cache, with export to stores and import
 * from them.
 *
 * <p>Of the imports of a completion it uses a contiguous prefix of pieces whose length and digest
 * are those given; whatever follows the first one that fails is computed.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class CacheRoutes implements StandinServer.Handler {

  private final PrefixCache cache;
  private final Supplier<Faults> faults;
  private final Consumer<Object> recorder;
  private final InstantSource clock;
  private final ObjectClient objects = new ObjectClient();

  CacheRoutes(
      long capacityTokens,
      Supplier<Faults> faults,
      Consumer<Object> recorder,
      InstantSource clock) {
    cache = new PrefixCache(capacityTokens);
    this.faults = faults;
    this.recorder = recorder;
    this.clock = clock;
  }

  @Override
  public Mono<StandinReply> handle(StandinRequest request) {
    return switch (request.method() + " " + request.path()) {
      case "GET /cache/events" -> Mono.just(events(request));
      case "GET /cache/contents" -> Mono.fromSupplier(this::contents);
      case "POST /cache/export" -> export(request.read(CachePort.ExportRequest.class));
      case "POST /cache/clear" -> Mono.fromSupplier(this::clear);
      default -> Mono.just(StandinReply.text(404, "{}"));
    };
  }

  /** Looks up the pieces of a prompt before its prefill, and imports those that it lacks. */
  Mono<Prepared> prepare(RunnerPort.CompletionRequest request) {
    if (faults.get().evictBeforePrefill()) {
      cache.clear(clock.millis());
    }
    int held = cache.use(request.pieceIds());
    return Flux.fromIterable(contiguous(request, held))
        .concatMap(piece -> fetch(request, piece), 1)
        .takeWhile(isUsed -> isUsed)
        .count()
        .map(imported -> prepared(request, held, imported));
  }

  /** Returns the imports that continue the prefix which the runner holds, in order. */
  private static List<RunnerPort.PieceImport> contiguous(
      RunnerPort.CompletionRequest request, int held) {
    return request.pieceIds().stream()
        .skip(held)
        .map(id -> request.imports().stream().filter(i -> i.pieceId().equals(id)).findFirst())
        .takeWhile(Optional::isPresent)
        .map(Optional::get)
        .toList();
  }

  private Mono<Boolean> fetch(RunnerPort.CompletionRequest request, RunnerPort.PieceImport wanted) {
    return objects
        .read(wanted.storeAddress(), wanted.objectName())
        .map(bytes -> bytes.isPresent() && accept(request, wanted, bytes.get()));
  }

  private boolean accept(
      RunnerPort.CompletionRequest request, RunnerPort.PieceImport wanted, byte[] bytes) {
    String digest = PieceBytes.sha256(bytes);
    boolean isWhole = bytes.length == wanted.length() && digest.equals(wanted.sha256());
    boolean isUsed = isWhole || faults.get().skipImportCheck();
    String version = request.weightVersion();
    String trueDigest = PieceBytes.sha256(PieceBytes.of(wanted.pieceId(), version));
    recorder.accept(
        new Imported(
            request.requestId(),
            request.organisation(),
            version,
            wanted.pieceId(),
            wanted.objectName(),
            digest,
            trueDigest,
            isUsed));
    if (isUsed) {
      cache.add(wanted.pieceId(), request.pieceTokens(), clock.millis());
    }
    return isUsed;
  }

  private Prepared prepared(RunnerPort.CompletionRequest request, int held, long imported) {
    // Imports may have evicted pieces that were there before them.
    long usable = Math.min(cache.use(request.pieceIds()), held + imported);
    long used = Math.max(0, usable - held);
    return new Prepared(usable * request.pieceTokens(), used * request.pieceTokens());
  }

  /** Keeps the pieces of a prompt after its prefill. */
  void computed(RunnerPort.CompletionRequest request) {
    request.pieceIds().forEach(piece -> cache.add(piece, request.pieceTokens(), clock.millis()));
  }

  private StandinReply contents() {
    return StandinReply.json(cache.contents(!faults.get().reportNoImportCheck()));
  }

  private Mono<StandinReply> export(CachePort.ExportRequest request) {
    if (!cache.holds(request.pieceId())) {
      return Mono.just(StandinReply.text(404, "{}"));
    }
    byte[] bytes = PieceBytes.of(request.pieceId(), request.weightVersion());
    var exported = new CachePort.ExportResult(bytes.length, PieceBytes.sha256(bytes));
    return objects
        .write(request.storeAddress(), request.objectName(), bytes)
        .map(isWhole -> isWhole ? StandinReply.json(exported) : StandinReply.text(502, "{}"));
  }

  private StandinReply events(StandinRequest request) {
    Faults now = faults.get();
    return StandinReply.json(
        cache.events(
            request.number("from"), now.eventLagMillis(), now.eventGapEvery(), clock.millis()));
  }

  private StandinReply clear() {
    cache.clear(clock.millis());
    recorder.accept(new Cleared(clock.millis()));
    return StandinReply.text(200, "{}");
  }

  /**
   * What was found for a prompt.
   *
   * @param cachedTokens tokens that need no prefill, with the imported ones
   * @param importedTokens those of them that came from a store
   */
  record Prepared(long cachedTokens, long importedTokens) {}

  /**
   * Record of a cache that was emptied.
   *
   * @param atMillis time, milliseconds since the epoch
   */
  record Cleared(long atMillis) {}

  /**
   * Record of a piece that was read from a store.
   *
   * @param requestId id of the request
   * @param organisation who asked
   * @param weightVersion version of the weights
   * @param importedPiece id of the piece
   * @param objectName name of the object
   * @param digest digest of the bytes that came
   * @param trueDigest digest of the piece's true bytes
   * @param isUsed whether the bytes went into the cache
   */
  record Imported(
      String requestId,
      String organisation,
      String weightVersion,
      String importedPiece,
      String objectName,
      String digest,
      String trueDigest,
      boolean isUsed) {}
}
