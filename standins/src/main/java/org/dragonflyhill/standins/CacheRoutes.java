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
 * Serves the prefix cache of the runner stand-in, including export to stores and import from them.
 *
 * <p>Imports of a completion are read in prompt order and verified by length and SHA-256 digest.
 * The first import that fails ends the cached prefix; the runner computes the rest of the prompt.
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

  /**
   * Looks up the pieces of a prompt before its prefill and imports the missing ones from stores.
   */
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

  /** Returns the imports that directly follow the cached pieces of the prompt, in prompt order. */
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
    // Adding the imports may have evicted pieces that were cached before.
    long usablePieces =
        Math.min(cache.touchPrefix(request.pieceIds()), cachedPieces + importedPieces);
    long usedImports = Math.max(0, usablePieces - cachedPieces);
    return new CachedPrefix(
        usablePieces * request.pieceTokens(), usedImports * request.pieceTokens());
  }

  /** Adds the pieces of a prompt to the cache after its prefill. */
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
        .map(isCreated -> isCreated ? StandinReply.json(result) : StandinReply.jsonText(502, "{}"));
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
   * Leading tokens of a prompt that are in the cache.
   *
   * @param cachedTokens tokens that need no prefill, including the imported ones
   * @param importedTokens tokens that were imported from a store
   */
  record CachedPrefix(long cachedTokens, long importedTokens) {}

  /**
   * Record of a cache clear.
   *
   * @param atMillis time of the clear, milliseconds since the epoch
   */
  record Cleared(long atMillis) {}

  /**
   * Record of a piece read from a store.
   *
   * @param requestId id of the request
   * @param organisation organisation that sent the request
   * @param weightVersion requested weight version
   * @param importedPiece id of the piece
   * @param objectName name of the object
   * @param digest SHA-256 digest of the bytes read
   * @param trueDigest SHA-256 digest of the correct bytes of the piece
   * @param isUsed whether the piece was added to the cache
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
