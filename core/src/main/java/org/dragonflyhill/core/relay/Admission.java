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
  public static final double MAX_TARGET_MULTIPLE = 1.3;

  /**
   * Estimated time to the first token up to which a caller is served who came back, as it was told;
   * above this the queue grows until all are late.
   */
  public static final Duration RETRY_LATENCY_LIMIT = Duration.ofMillis(450);

  /** Requests at a runner up to which nothing is refused: it has places free. */
  public static final int ALWAYS_ADMITTED_RUNNING = 8;

  /**
   * Tokens that a request may push out of a runner's memory; one piece of a prompt, by the users'
   * sheet. What is pushed out belongs to answers under way, which pause and are read again.
   */
  public static final int MAX_PREEMPTED_TOKENS = 2_048;

  /** Shortest time after which a refused caller comes back. */
  public static final Duration MIN_RETRY_AFTER = Duration.ofMillis(150);

  /** Part of its objective for which a request waits at the node until a runner has room. */
  public static final double MAX_WAIT_SHARE = 0.5;

  private Admission() {}

  /**
   * Returns when a caller should come back instead, or empty if the request is sent on.
   *
   * @param placed the best runner
   * @param objective time within which the answer earns its full worth
   * @param isReturning whether the caller has come back after a refusal or failure
   */
  public static Optional<Duration> refusal(
      RunnerSelector.Selection placed, Duration objective, boolean isReturning) {
    if (placed.running() <= ALWAYS_ADMITTED_RUNNING) {
      return Optional.empty();
    }
    double limit = objective.toNanos() / 1e9 * MAX_TARGET_MULTIPLE;
    if (isReturning) {
      limit = Math.max(limit, RETRY_LATENCY_LIMIT.toNanos() / 1e9);
    }
    double excess = placed.firstTokenSeconds() - limit;
    return excess > 0
        ? Optional.of(MIN_RETRY_AFTER.plus(Duration.ofNanos((long) (excess * 1e9))))
        : Optional.empty();
  }

  /** Returns whether a request fits beside the answers that are under way at its runner. */
  public static boolean hasRoom(RunnerSelector.Selection placed) {
    return placed.running() <= ALWAYS_ADMITTED_RUNNING
        || placed.preemptedTokens() <= MAX_PREEMPTED_TOKENS;
  }

  /** Returns how long a request may wait at the node for room. */
  public static Duration maxWait(Duration objective) {
    return Duration.ofNanos((long) (objective.toNanos() * MAX_WAIT_SHARE));
  }
}
