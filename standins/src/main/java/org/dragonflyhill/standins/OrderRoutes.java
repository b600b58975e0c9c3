package org.dragonflyhill.standins;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dragonflyhill.core.OrderPlanner.Weights;
import org.dragonflyhill.ports.HttpCaller;
import org.dragonflyhill.ports.OrderPort;
import reactor.core.publisher.Mono;

/**
 * Handles the orders that tell the runner stand-in which weights to load.
 *
 * <p>An order whose fencing token is below the highest token seen is refused with status 409. An
 * accepted order starts a load unless its weights are loaded or another load is in progress.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class OrderRoutes implements StandinServer.Handler {

  private static final Duration LOAD_TIME = Duration.ofMillis(200);
  private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(30);

  private final Optional<String> weightStore;
  private final HttpCaller weightStoreCaller = new HttpCaller("weights", 4, Duration.ofSeconds(2));
  private final Supplier<Faults> faults;
  private final Consumer<Object> recorder;
  private final InstantSource clock;
  private Weights weights = Weights.NONE;
  private boolean isLoading;
  private long highestToken = -1;

  OrderRoutes(
      Optional<String> weightStore,
      Supplier<Faults> faults,
      Consumer<Object> recorder,
      InstantSource clock) {
    this.weightStore = weightStore;
    this.faults = faults;
    this.recorder = recorder;
    this.clock = clock;
  }

  @Override
  public Mono<StandinReply> handle(StandinRequest request) {
    if (request.method().equals("PUT")) {
      return Mono.just(handleOrder(request.parseBody(OrderPort.LoadOrder.class)));
    }
    return Mono.just(StandinReply.json(state()));
  }

  private synchronized OrderPort.State state() {
    return new OrderPort.State(weights, isLoading, highestToken);
  }

  private synchronized StandinReply handleOrder(OrderPort.LoadOrder order) {
    boolean isStale = order.fencingToken() < highestToken;
    if (isStale && !faults.get().ignoreFencing()) {
      recorder.accept(
          new OrderEvent("refused", order.weights(), order.fencingToken(), nowMillis()));
      return StandinReply.jsonText(409, "{\"error\":\"old fencing token\"}");
    }
    highestToken = Math.max(highestToken, order.fencingToken());
    recorder.accept(new OrderEvent("taken", order.weights(), order.fencingToken(), nowMillis()));
    if (!order.weights().equals(weights) && !isLoading) {
      isLoading = true;
      loadWeights(order.weights()).subscribe(done -> finishLoad(order), error -> abortLoad());
    }
    return StandinReply.json(state());
  }

  private Mono<Boolean> loadWeights(Weights requested) {
    if (weightStore.isEmpty()) {
      return Mono.delay(LOAD_TIME).thenReturn(true);
    }
    String path = "/weights/" + requested.model() + "/" + requested.weightVersion();
    return weightStoreCaller
        .call(HttpMethod.GET, weightStore.get(), path, List.of(), "", FETCH_TIMEOUT)
        .map(reply -> reply.getOrElseThrow(error -> new IllegalStateException(error.detail())))
        .thenReturn(true);
  }

  private synchronized void finishLoad(OrderPort.LoadOrder order) {
    weights = order.weights();
    isLoading = false;
    recorder.accept(new OrderEvent("loaded", weights, order.fencingToken(), nowMillis()));
  }

  private synchronized void abortLoad() {
    isLoading = false;
  }

  private long nowMillis() {
    return clock.millis();
  }

  /**
   * Record of what happened to an order.
   *
   * @param event {@code taken}, {@code refused} or {@code loaded}
   * @param weights ordered weights
   * @param fencingToken fencing token of the order
   * @param atMillis time of the event, milliseconds since the epoch
   */
  record OrderEvent(String event, Weights weights, long fencingToken, long atMillis) {}
}
