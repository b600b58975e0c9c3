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
 * The part of the runner stand-in that takes orders to load weights.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class OrderRoutes implements StandinServer.Handler {

  private static final Duration LOAD_TIME = Duration.ofMillis(200);
  private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(30);

  private final Optional<String> weightStore;
  private final HttpCaller caller = new HttpCaller("weights", 4, Duration.ofSeconds(2));
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
      return Mono.just(order(request.read(OrderPort.LoadOrder.class)));
    }
    return Mono.just(StandinReply.json(state()));
  }

  private synchronized OrderPort.State state() {
    return new OrderPort.State(weights, isLoading, highestToken);
  }

  private synchronized StandinReply order(OrderPort.LoadOrder order) {
    boolean isOld = order.fencingToken() < highestToken;
    if (isOld && !faults.get().ignoreFencing()) {
      recorder.accept(new Ordered("refused", order.weights(), order.fencingToken(), now()));
      return StandinReply.text(409, "{\"error\":\"old fencing token\"}");
    }
    highestToken = Math.max(highestToken, order.fencingToken());
    recorder.accept(new Ordered("taken", order.weights(), order.fencingToken(), now()));
    if (!order.weights().equals(weights) && !isLoading) {
      isLoading = true;
      fetch(order.weights()).subscribe(done -> loaded(order), error -> failed());
    }
    return StandinReply.json(state());
  }

  private Mono<Boolean> fetch(Weights wanted) {
    if (weightStore.isEmpty()) {
      return Mono.delay(LOAD_TIME).thenReturn(true);
    }
    String path = "/weights/" + wanted.model() + "/" + wanted.weightVersion();
    return caller
        .call(HttpMethod.GET, weightStore.get(), path, List.of(), "", FETCH_TIMEOUT)
        .map(reply -> reply.getOrElseThrow(error -> new IllegalStateException(error.detail())))
        .thenReturn(true);
  }

  private synchronized void loaded(OrderPort.LoadOrder order) {
    weights = order.weights();
    isLoading = false;
    recorder.accept(new Ordered("loaded", weights, order.fencingToken(), now()));
  }

  private synchronized void failed() {
    isLoading = false;
  }

  private long now() {
    return clock.millis();
  }

  /**
   * Record of an order.
   *
   * @param event taken, refused or loaded
   * @param weights the weights
   * @param fencingToken token of the order
   * @param atMillis time, milliseconds since the epoch
   */
  record Ordered(String event, Weights weights, long fencingToken, long atMillis) {}
}
