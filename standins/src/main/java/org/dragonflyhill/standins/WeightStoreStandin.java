package org.dragonflyhill.standins;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import reactor.core.publisher.Mono;

/**
 * Stand-in for the weight store. {@code GET /weights/{model}/{version}} takes 0.2 s for up to two
 * concurrent loads, 0.4 s for up to four, and so on.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class WeightStoreStandin implements StandinServer.Handler {

  private static final Duration LOAD_TIME = Duration.ofMillis(200);
  private static final int LOADS_AT_FULL_SPEED = 2;

  private final AtomicInteger activeLoads = new AtomicInteger();
  private final Consumer<Object> recorder;

  /** Creates a stand-in that passes a record of each load to a recorder. */
  public WeightStoreStandin(Consumer<Object> recorder) {
    this.recorder = recorder;
  }

  @Override
  public Mono<StandinReply> handle(StandinRequest request) {
    int concurrentLoads = activeLoads.incrementAndGet();
    recorder.accept(new Loaded(request.path(), concurrentLoads));
    int slowdown = Math.max(1, (concurrentLoads + LOADS_AT_FULL_SPEED - 1) / LOADS_AT_FULL_SPEED);
    return Mono.delay(LOAD_TIME.multipliedBy(slowdown))
        .<StandinReply>map(done -> StandinReply.jsonText(200, "{}"))
        .doFinally(signal -> activeLoads.decrementAndGet());
  }

  /**
   * Record of a load.
   *
   * @param path path of the loaded weights
   * @param loadsAtOnce number of concurrent loads, including this one
   */
  public record Loaded(String path, int loadsAtOnce) {}
}
