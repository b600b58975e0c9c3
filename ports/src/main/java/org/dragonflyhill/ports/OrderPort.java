package org.dragonflyhill.ports;

import io.vavr.control.Either;
import org.dragonflyhill.core.OrderPlanner.Weights;
import reactor.core.publisher.Mono;

/** Orders to model runners. Thread-safe; nothing is null. */
public interface OrderPort {

  /** Tells a runner which weights to serve; it answers before they are loaded. */
  Mono<Either<PlatformError, State>> order(String address, LoadOrder order);

  /** Returns which weights a runner serves. */
  Mono<Either<PlatformError, State>> state(String address);

  /**
   * An order to load weights.
   *
   * @param weights the weights that it should serve
   * @param fencingToken number that grows with each new controller
   * @param deadlineMillis time after which the runner must ignore it, milliseconds from its arrival
   */
  record LoadOrder(Weights weights, long fencingToken, long deadlineMillis) {}

  /**
   * What a runner serves.
   *
   * @param weights weights that it serves
   * @param isLoading whether it loads others
   * @param highestToken highest fencing token that it saw, -1 for none
   */
  record State(Weights weights, boolean isLoading, long highestToken) {}
}
