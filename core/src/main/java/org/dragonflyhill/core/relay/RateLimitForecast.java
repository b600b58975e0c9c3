package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * When runners that hold requests back by their rate limits accept some again from this node.
 *
 * @param runners number of these runners
 * @param sharePerSecond requests per second that this node may send to them in total
 * @param untilNext time until this node may send the next request, empty if it has no share
 */
public record RateLimitForecast(int runners, double sharePerSecond, Optional<Duration> untilNext) {

  /** Minimum time after which a refused caller should return. */
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(150);

  /**
   * Time after which a refused caller should return if this node has no share of any limit, so that
   * another node has to serve it.
   */
  private static final Duration NO_SHARE_RETRY_AFTER = Duration.ofMillis(400);

  private static final double NANOS_PER_SECOND = 1e9;

  /** Returns the forecast for runners, empty if there are none. */
  public static Optional<RateLimitForecast> of(Collection<Runner> heldBack, Instant now) {
    if (heldBack.isEmpty()) {
      return Optional.empty();
    }
    double share = heldBack.stream().mapToDouble(runner -> runner.permittedPerSecond(now)).sum();
    Optional<Duration> untilNext =
        heldBack.stream()
            .flatMap(runner -> runner.timeUntilPermitted(now).stream())
            .min(Comparator.naturalOrder());
    return Optional.of(new RateLimitForecast(heldBack.size(), share, untilNext));
  }

  /**
   * Returns the estimated wait of a request, empty if this node has no share.
   *
   * @param ahead number of requests that are sent before it
   */
  public Optional<Duration> waitBehind(int ahead) {
    // Without a share, the wait ends as a runner stops being cold, for all requests at once.
    return sharePerSecond == 0
        ? untilNext
        : untilNext.map(
            next ->
                next.plus(Duration.ofNanos((long) (ahead / sharePerSecond * NANOS_PER_SECOND))));
  }

  /**
   * Returns whether a request should wait at the node rather than be refused.
   *
   * @param ahead number of requests that are sent before it
   * @param targetLatency target latency of its route
   */
  public boolean mayWaitBehind(int ahead, Duration targetLatency) {
    return waitBehind(ahead)
        .filter(wait -> wait.compareTo(Admission.maxWait(targetLatency)) <= 0)
        .isPresent();
  }

  /**
   * Returns the time after which a refused caller should return: the estimated wait, and up to as
   * much again so that callers refused together do not return together.
   *
   * @param ahead number of requests that are sent before
   * @param spread a random number from 0 to 1
   */
  public Duration retryAfter(int ahead, double spread) {
    Duration wait = waitBehind(ahead).orElse(NO_SHARE_RETRY_AFTER);
    Duration base = wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
    return base.plus(Duration.ofNanos((long) (base.toNanos() * spread)));
  }

  /** Returns a description for the log. */
  public String explanation() {
    return "%d runners at their rate limits, share of this node %.2f requests/s, next in %s"
        .formatted(
            runners,
            sharePerSecond,
            untilNext.map(next -> next.toMillis() + " ms").orElse("an unknown time"));
  }
}
