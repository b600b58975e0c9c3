package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.util.Optional;

/**
 * Admission control: decides whether a request is sent to a runner, waits at the node or is refused
 * at once. Under overload, a request that would miss its target latency also delays every request
 * queued behind it. Refusing it immediately lets the caller retry when the queue is shorter.
 *
 * <p>Stateless and thread-safe.
 */
public final class Admission {

  /**
   * Estimated time to first token, as a multiple of the route's target latency, above which a
   * request is refused.
   */
  public static final double MAX_TARGET_MULTIPLE = 1.3;

  /**
   * Estimated time to first token up to which a retried request is admitted even if its target
   * latency is lower. With a higher limit the queue grows until every request is late.
   */
  public static final Duration RETRY_LATENCY_LIMIT = Duration.ofMillis(450);

  /**
   * Estimated time to the next event up to which a stream that has begun is admitted. Its caller
   * has a part of the answer and waits at least 2 s for more; what has been written is lost
   * otherwise.
   */
  public static final Duration CONTINUATION_LATENCY_LIMIT = Duration.ofMillis(1_500);

  /**
   * Number of running requests up to which a runner refuses nothing, because it still has free
   * slots.
   */
  public static final int ALWAYS_ADMITTED_RUNNING = 8;

  /** Fraction of a runner's slots that limits this number at small runners. */
  public static final double ALWAYS_ADMITTED_SHARE = 1.0 / 2;

  /**
   * Maximum number of tokens that a request may preempt from a runner's KV memory; equals one piece
   * of a prompt in the platform specification. Preempted requests pause and their prompts are
   * prefilled again.
   */
  public static final int MAX_PREEMPTED_TOKENS = 2_048;

  /** Minimum retry delay that is returned to a refused caller. */
  public static final Duration MIN_RETRY_AFTER = Duration.ofMillis(150);

  /** Fraction of the target latency for which a request may wait at the node for runner memory. */
  public static final double MAX_WAIT_SHARE = 0.5;

  private Admission() {}

  /** What the caller of a request has had of the answer so far. */
  public enum Standing {
    /** Nothing; this is its first attempt. */
    NEW,
    /** Nothing, after a refusal or failure. */
    RETRIED,
    /** A part of a stream, which it takes up again. */
    BEGUN
  }

  /**
   * Returns the delay after which the caller should retry if the request is refused, or empty if
   * the request is admitted.
   *
   * @param selection the selected runner with its cost estimate
   * @param targetLatency target latency of the route
   * @param standing what the caller has had of the answer so far
   */
  public static Optional<Duration> refusal(
      RunnerSelector.Selection selection, Duration targetLatency, Standing standing) {
    if (isAlwaysAdmitted(selection)) {
      return Optional.empty();
    }
    Duration minLimit =
        switch (standing) {
          case NEW -> Duration.ZERO;
          case RETRIED -> RETRY_LATENCY_LIMIT;
          case BEGUN -> CONTINUATION_LATENCY_LIMIT;
        };
    double limit =
        Math.max(targetLatency.toNanos() / 1e9 * MAX_TARGET_MULTIPLE, minLimit.toNanos() / 1e9);
    double excess = selection.firstTokenSeconds() - limit;
    return excess > 0
        ? Optional.of(MIN_RETRY_AFTER.plus(Duration.ofNanos((long) (excess * 1e9))))
        : Optional.empty();
  }

  /**
   * Returns whether the selected runner is expected to begin to answer in the time that is left.
   */
  public static boolean canBegin(RunnerSelector.Selection selection, Duration timeLeft) {
    return selection.firstTokenSeconds() * 1e9 < timeLeft.toNanos();
  }

  private static boolean isAlwaysAdmitted(RunnerSelector.Selection selection) {
    double share = selection.runner().info().slots() * ALWAYS_ADMITTED_SHARE;
    return selection.running() <= Math.min(ALWAYS_ADMITTED_RUNNING, share);
  }

  /**
   * Returns whether the selected runner can take the request without preempting more than {@link
   * #MAX_PREEMPTED_TOKENS} of the requests running there.
   */
  public static boolean hasRoom(RunnerSelector.Selection selection) {
    return isAlwaysAdmitted(selection) || selection.preemptedTokens() <= MAX_PREEMPTED_TOKENS;
  }

  /** Returns the maximum time that a request may wait at the node for runner memory. */
  public static Duration maxWait(Duration targetLatency) {
    return Duration.ofNanos((long) (targetLatency.toNanos() * MAX_WAIT_SHARE));
  }
}
