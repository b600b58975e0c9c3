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
  private final ObjectClient objectClient = new ObjectClient();

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
      case "POST /cache/export" -> export(request.parseBody(CachePort.ExportRequest.class));
      case "POST /cache/clear" -> Mono.fromSupplier(this::clear);
      default -> Mono.just(StandinReply.jsonText(404, "{}"));
    };
  }

  /** Looks up the pieces of a prompt before its prefill, and imports those that it lacks. */
  Mono<CachedPrefix> loadCachedPrefix(RunnerPort.CompletionRequest request) {
    if (faults.get().evictBeforePrefill()) {
      cache.clear(clock.millis());
    }
    int cachedPieces = cache.touchPrefix(request.pieceIds());
    return Flux.fromIterable(consecutiveImports(request, cachedPieces))
        .concatMap(piece -> importPiece(request, piece), 1)
        .takeWhile(isUsed -> isUsed)
        .count()
        .map(imported -> measureCachedPrefix(request, cachedPieces, imported));
  }

  /** Returns the imports that continue the prefix which the runner holds, in order. */
  private static List<RunnerPort.PieceImport> consecutiveImports(
      RunnerPort.CompletionRequest request, int cachedPieces) {
    return request.pieceIds().stream()
        .skip(cachedPieces)
        .map(id -> request.imports().stream().filter(i -> i.pieceId().equals(id)).findFirst())
        .takeWhile(Optional::isPresent)
        .map(Optional::get)
        .toList();
  }

  private Mono<Boolean> importPiece(
      RunnerPort.CompletionRequest request, RunnerPort.PieceImport pieceImport) {
    return objectClient
        .read(pieceImport.storeAddress(), pieceImport.objectName())
        .map(bytes -> bytes.isPresent() && verifyAndAdd(request, pieceImport, bytes.get()));
  }

  private boolean verifyAndAdd(
      RunnerPort.CompletionRequest request, RunnerPort.PieceImport pieceImport, byte[] bytes) {
    String digest = PieceBytes.sha256(bytes);
    boolean isValid = bytes.length == pieceImport.length() && digest.equals(pieceImport.sha256());
    boolean isUsed = isValid || faults.get().skipImportCheck();
    String version = request.weightVersion();
    String expectedDigest = PieceBytes.sha256(PieceBytes.of(pieceImport.pieceId(), version));
    recorder.accept(
        new Imported(
            request.requestId(),
            request.organisation(),
            version,
            pieceImport.pieceId(),
            pieceImport.objectName(),
            digest,
            expectedDigest,
            isUsed));
    if (isUsed) {
      cache.add(pieceImport.pieceId(), request.pieceTokens(), clock.millis());
    }
    return isUsed;
  }

  private CachedPrefix measureCachedPrefix(
      RunnerPort.CompletionRequest request, int cachedPieces, long importedPieces) {
    // Imports may have evicted pieces that were there before them.
    long usablePieces =
        Math.min(cache.touchPrefix(request.pieceIds()), cachedPieces + importedPieces);
    long usedImports = Math.max(0, usablePieces - cachedPieces);
    return new CachedPrefix(
        usablePieces * request.pieceTokens(), usedImports * request.pieceTokens());
  }

  /** Keeps the pieces of a prompt after its prefill. */
  void addPromptPieces(RunnerPort.CompletionRequest request) {
    request.pieceIds().forEach(piece -> cache.add(piece, request.pieceTokens(), clock.millis()));
  }

  private StandinReply contents() {
    return StandinReply.json(cache.contents(!faults.get().reportNoImportCheck()));
  }

  private Mono<StandinReply> export(CachePort.ExportRequest request) {
    if (!cache.contains(request.pieceId())) {
      return Mono.just(StandinReply.jsonText(404, "{}"));
    }
    byte[] bytes = PieceBytes.of(request.pieceId(), request.weightVersion());
    var result = new CachePort.ExportResult(bytes.length, PieceBytes.sha256(bytes));
    return objectClient
        .write(request.storeAddress(), request.objectName(), bytes)
        .map(isWhole -> isWhole ? StandinReply.json(result) : StandinReply.jsonText(502, "{}"));
  }

  private StandinReply events(StandinRequest request) {
    Faults activeFaults = faults.get();
    return StandinReply.json(
        cache.events(
            request.queryNumber("from"),
            activeFaults.eventLagMillis(),
            activeFaults.eventGapEvery(),
            clock.millis()));
  }

  private StandinReply clear() {
    cache.clear(clock.millis());
    recorder.accept(new Cleared(clock.millis()));
    return StandinReply.jsonText(200, "{}");
  }

  /**
   * What was found for a prompt.
   *
   * @param cachedTokens tokens that need no prefill, with the imported ones
   * @param importedTokens those of them that came from a store
   */
  record CachedPrefix(long cachedTokens, long importedTokens) {}

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
