package org.dragonflyhill.standins;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dragonflyhill.core.PieceKeys;
import org.dragonflyhill.ports.HttpRunnerClient;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.ports.RunnerPort;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Stand-in for a model runner. It simulates batch slots and the prefill time of prompt tokens that
 * are not in its prefix cache. Its completions are deterministic: each token depends only on the
 * prompt, the weight version and the position of the token.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class RunnerStandin implements StandinServer.Handler {

  private static final Duration SLOT_POLL = Duration.ofMillis(1);

  private final Engine engine;
  private final CacheRoutes cache;
  private final OrderRoutes orders;
  private final Semaphore slots;
  private final StreamFaults streamFaults = new StreamFaults();
  private final AtomicInteger queued = new AtomicInteger();
  private final AtomicLong queuedTokens = new AtomicLong();
  private final Supplier<Faults> faults;
  private final Consumer<Object> recorder;
  private final InstantSource clock;

  /**
   * Creates a stand-in.
   *
   * @param engine speed and capacity
   * @param faults active faults
   * @param recorder receives a record of each completion, refusal, import, cache clear and order
   * @param clock source of the current time
   */
  public RunnerStandin(
      Engine engine, Supplier<Faults> faults, Consumer<Object> recorder, InstantSource clock) {
    this.engine = engine;
    this.faults = faults;
    this.recorder = recorder;
    this.clock = clock;
    orders = new OrderRoutes(engine.weightStore(), faults, recorder, clock);
    cache = new CacheRoutes(engine.cacheTokens(), faults, recorder, clock);
    slots = new Semaphore(engine.slots());
  }

  @Override
  public Mono<StandinReply> handle(StandinRequest request) {
    if (request.path().startsWith("/orders/")) {
      return orders.handle(request);
    }
    return switch (request.method() + " " + request.path()) {
      case "POST /v1/completions" ->
          Mono.just(
              faults.get().refusesLeaving()
                  ? refuseAsLeaving()
                  : complete(request.parseBody(RunnerPort.CompletionRequest.class)));
      case "GET /load" -> Mono.just(StandinReply.json(load()));
      default -> cache.handle(request);
    };
  }

  private RunnerPort.Load load() {
    int running = engine.slots() - slots.availablePermits();
    return new RunnerPort.Load(
        running, queued.get(), queuedTokens.get(), clock.millis(), faults.get().reportsLeaving());
  }

  private StandinReply refuseAsLeaving() {
    recorder.accept(new Refused(clock.millis()));
    return StandinReply.jsonText(503, HttpRunnerClient.LEAVING_BODY);
  }

  private StandinReply complete(RunnerPort.CompletionRequest request) {
    long promptTokens = PieceKeys.estimateTokens(request.prompt());
    queued.incrementAndGet();
    queuedTokens.addAndGet(promptTokens);
    Flux<Optional<String>> events =
        acquireSlot()
            .doFinally(
                signal -> {
                  queued.decrementAndGet();
                  queuedTokens.addAndGet(-promptTokens);
                })
            .thenMany(Flux.defer(() -> run(request, promptTokens)));
    return new StandinReply.EventStream(events);
  }

  private Mono<Boolean> acquireSlot() {
    return Mono.fromSupplier(slots::tryAcquire)
        .filter(isAcquired -> isAcquired)
        .repeatWhenEmpty(empty -> empty.delayElements(SLOT_POLL));
  }

  private Flux<Optional<String>> run(RunnerPort.CompletionRequest request, long promptTokens) {
    return cache
        .loadCachedPrefix(request)
        .flatMapMany(cachedPrefix -> prefill(request, promptTokens, cachedPrefix))
        .doFinally(signal -> slots.release());
  }

  private Flux<Optional<String>> prefill(
      RunnerPort.CompletionRequest request,
      long promptTokens,
      CacheRoutes.CachedPrefix cachedPrefix) {
    long uncachedTokens = Math.max(0, promptTokens - cachedPrefix.cachedTokens());
    Duration time =
        Duration.ofNanos(uncachedTokens * 1_000_000_000L / engine.prefillTokensPerSecond());
    recorder.accept(
        new Completed(
            request.requestId(),
            request.organisation(),
            request.weightVersion(),
            promptTokens,
            cachedPrefix.cachedTokens(),
            request.resumeOffset(),
            clock.millis()));
    return Mono.delay(time)
        .doOnNext(done -> cache.addPromptPieces(request))
        .thenMany(generate(request, promptTokens, cachedPrefix));
  }

  private Flux<Optional<String>> generate(
      RunnerPort.CompletionRequest request,
      long promptTokens,
      CacheRoutes.CachedPrefix cachedPrefix) {
    Faults activeFaults = streamFaults.faultsOfNextStream(faults.get());
    String version =
        activeFaults.wrongWeightVersion()
            ? request.weightVersion() + "-other"
            : request.weightVersion();
    int total = request.maxTokens();
    Duration tokenTime = engine.tokenTime().plusMillis(activeFaults.tokenDelayMillis());
    Flux<Optional<String>> chunks =
        Flux.range(request.resumeOffset(), Math.max(0, total - request.resumeOffset()))
            .concatMap(index -> Mono.just(index).delayElement(tokenTime), 1)
            .concatMapIterable(index -> streamFaults.chunks(activeFaults, request, version, index))
            .map(chunk -> Optional.of(chunkMessage(chunk)));
    if (activeFaults.cutAfterTokens() > 0) {
      return chunks.take(activeFaults.cutAfterTokens()).concatWith(Flux.just(Optional.empty()));
    }
    var end =
        new RunnerPort.Event.End(
            request.requestId(),
            total,
            promptTokens,
            cachedPrefix.cachedTokens(),
            cachedPrefix.importedTokens(),
            "length");
    return chunks.concatWith(
        Flux.just(
            Optional.of(
                Json.write(new HttpRunnerClient.Message(Optional.empty(), Optional.of(end))))));
  }

  private static String chunkMessage(RunnerPort.Event.Chunk chunk) {
    return Json.write(new HttpRunnerClient.Message(Optional.of(chunk), Optional.empty()));
  }

  /** Returns the text of one token of the completion of a prompt under a weight version. */
  public static String tokenText(String prompt, String version, int index) {
    long hash =
        Hashing.komihash5_0()
            .hashStream()
            .putString(prompt)
            .putString(version)
            .putInt(index)
            .getAsLong();
    return Long.toString(Math.floorMod(hash, 46_656L), 36) + " ";
  }

  /** Returns the complete text of the completion of a prompt under a weight version. */
  public static String text(String prompt, String version, int tokens) {
    StringBuilder text = new StringBuilder();
    for (int index = 0; index < tokens; index++) {
      text.append(tokenText(prompt, version, index));
    }
    return text.toString();
  }

  /**
   * Speed and capacity of the simulated inference engine.
   *
   * @param slots maximum number of concurrent completions
   * @param cacheTokens capacity of the prefix cache, in tokens
   * @param prefillTokensPerSecond prompt tokens computed per second
   * @param tokenTime time per generated token
   * @param weightStore {@code host:port} of the weight store; if empty, loading weights is
   *     simulated by a delay
   */
  public record Engine(
      int slots,
      long cacheTokens,
      long prefillTokensPerSecond,
      Duration tokenTime,
      Optional<String> weightStore) {}

  /**
   * Record of a completion that was refused because the runner is leaving.
   *
   * @param atMillis time of the refusal, milliseconds since the epoch
   */
  public record Refused(long atMillis) {}

  /**
   * Record of a completion, made when its prefill starts.
   *
   * @param requestId id of the request
   * @param organisation organisation that sent the request
   * @param weightVersion requested weight version
   * @param promptTokens estimated number of tokens of the prompt
   * @param cachedTokens prompt tokens in the cache, which need no prefill
   * @param resumeOffset index of the first token to generate; the caller already has those before
   *     it
   * @param atMillis time of the record, milliseconds since the epoch
   */
  public record Completed(
      String requestId,
      String organisation,
      String weightVersion,
      long promptTokens,
      long cachedTokens,
      int resumeOffset,
      long atMillis) {}
}
