package org.dragonflyhill.daemon;

import java.time.Duration;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Runs a task at a fixed interval until it is closed. An error of one round is logged, and the next
 * rounds still run.
 *
 * <p>Rounds do not overlap: if one takes longer than the interval, the next one is delayed.
 *
 * <p>Thread-safe. Arguments must not be null.
 */
final class Polling implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(Polling.class);

  /** An instance that polls nothing, for use before the polling starts. */
  static final Polling NONE = new Polling(() -> {});

  private final Disposable subscription;

  private Polling(Disposable subscription) {
    this.subscription = subscription;
  }

  /**
   * Starts polling; the first round starts immediately.
   *
   * @param interval time between the starts of two rounds
   * @param name name of what is processed, for the log
   * @param round supplies the work of one round
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
              LOGGER.error("periodic processing of {} failed", name, error);
              return Mono.empty();
            });
  }
}
