package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a request is sent on or refused at once. Under overload a request that would wait
 * past its objective makes all behind it late too, and earns little itself; refused at once, its
 * caller can come back when the queue is shorter.
 *
 * <p>Stateless and thread-safe.
 */
public final class Admission {

  /** Estimated time to the first token, in objectives, beyond which a request is refused. */
  public static final double MAX_OBJECTIVES = 1.3;

  /** Requests at a runner up to which nothing is refused: it has places free. */
  public static final int FREE_RUNNING = 8;

  /** Shortest time after which a refused caller comes back. */
  public static final Duration SHORTEST_RETRY = Duration.ofMillis(150);

  private Admission() {}

  /**
   * Returns when a caller should come back instead, or empty if the request is sent on.
   *
   * @param placed the best runner
   * @param objective time within which the answer earns its full worth
   */
  public static Optional<Duration> refusal(RunnerChoice.Placed placed, Duration objective) {
    double limit = objective.toNanos() / 1e9 * MAX_OBJECTIVES;
    double excess = placed.firstTokenSeconds() - limit;
    if (excess <= 0 || placed.running() <= FREE_RUNNING) {
      return Optional.empty();
    }
    Duration drained = Duration.ofNanos((long) (excess * 1e9));
    return Optional.of(SHORTEST_RETRY.plus(drained));
  }
}
