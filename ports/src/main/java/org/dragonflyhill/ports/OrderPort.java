package org.dragonflyhill.ports;

import io.vavr.control.Either;
import org.dragonflyhill.core.OrderPlanner.Weights;
import reactor.core.publisher.Mono;

/** Sends orders to model runners. Thread-safe; nothing is null. */
public interface OrderPort {

  /** Orders a runner to serve weights. The runner responds before it has loaded them. */
  Mono<Either<PlatformError, State>> order(String address, LoadOrder order);

  /** Returns the weights that a runner serves. */
  Mono<Either<PlatformError, State>> state(String address);

  /**
   * An order to load weights.
   *
   * @param weights weights that the runner should serve
   * @param fencingToken token that increases with each new controller; a runner can reject orders
   *     with an outdated token
   * @param deadlineMillis time after which the runner must ignore the order, in milliseconds from
   *     its arrival
   */
  record LoadOrder(Weights weights, long fencingToken, long deadlineMillis) {}

  /**
   * Weights that a runner serves.
   *
   * @param weights weights that the runner serves
   * @param isLoading whether the runner is loading other weights
   * @param highestToken highest fencing token that the runner has received, -1 if none
   */
  record State(Weights weights, boolean isLoading, long highestToken) {}
}
