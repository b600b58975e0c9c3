package org.dragonflyhill.standins;

import java.time.InstantSource;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dragonflyhill.platform.RunnerPort;
import reactor.core.publisher.Mono;

/**
 * The part of the runner stand-in that concerns its prefix cache.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class CacheRoutes implements StandinServer.Handler {

  private final PrefixCache cache;
  private final Supplier<Faults> faults;
  private final Consumer<Object> recorder;
  private final InstantSource clock;

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
      case "GET /cache/contents" -> Mono.just(StandinReply.json(cache.contents()));
      case "POST /cache/clear" -> Mono.fromSupplier(this::clear);
      default -> Mono.just(StandinReply.text(404, "{}"));
    };
  }

  /** Looks up the pieces of a prompt before its prefill. */
  Mono<Prepared> prepare(RunnerPort.CompletionRequest request) {
    long cached = (long) cache.use(request.pieceIds()) * request.pieceTokens();
    return Mono.just(new Prepared(cached, 0));
  }

  /** Keeps the pieces of a prompt after its prefill. */
  void computed(RunnerPort.CompletionRequest request) {
    request.pieceIds().forEach(piece -> cache.add(piece, request.pieceTokens(), clock.millis()));
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
}
