package org.dragonflyhill.daemon;

import java.time.Duration;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Runs one round after the other at an interval until it is closed; a round that fails is logged
 * and does not end the others.
 *
 * <p>A round that takes longer than the interval puts off the next one. Thread-safe; no argument
 * may be null.
 */
final class Polling implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(Polling.class);

  /** Polling that has not begun. */
  static final Polling NONE = new Polling(() -> {});

  private final Disposable subscription;

  private Polling(Disposable subscription) {
    this.subscription = subscription;
  }

  /**
   * Starts to poll, the first round at once.
   *
   * @param interval time between the starts of two rounds
   * @param name what is polled, for the log
   * @param round one round
   */
  static Polling every(Duration interval, String name, Supplier<Mono<Void>> round) {
    return new Polling(
        Flux.interval(Duration.ZERO, interval)
            .onBackpressureDrop()
            .concatMap(tick -> runRound(name, round), 1)
            .subscribe());
  }

  @Override
  public void close() {
    subscription.dispose();
  }

  private static Mono<Void> runRound(String name, Supplier<Mono<Void>> round) {
    return Mono.defer(round)
        .onErrorResume(
            error -> {
              LOGGER.error("a round of {} failed", name, error);
              return Mono.empty();
            });
  }
}
