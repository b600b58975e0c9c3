package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * A token bucket for this node's share of the requests that a runner accepts. It holds a single
 * token and starts empty, so requests are spaced out, also after a pause.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class TokenBucket {

  private static final double CAPACITY = 1;

  /** Tolerance for rounding errors in the number of tokens. */
  private static final double EPSILON = 1e-9;

  private static final double NANOS_PER_SECOND = 1e9;

  private double sharePerSecond;
  private double tokens;
  private Instant refilledAt = Instant.MIN;

  /** Sets the number of requests per second that this node may send. */
  void setShare(double perSecond, Instant now) {
    refill(now);
    sharePerSecond = perSecond;
    if (perSecond == 0) {
      tokens = 0;
    }
  }

  /** Returns the number of requests per second that this node may send. */
  double sharePerSecond() {
    return sharePerSecond;
  }

  /** Returns whether this node may send a request now. */
  boolean isPermitted(Instant now) {
    refill(now);
    return tokens >= CAPACITY - EPSILON;
  }

  /** Records that a request is sent. */
  void recordRequest(Instant now) {
    refill(now);
    tokens--;
  }

  /** Returns how long this node may send no request, empty if it has no share. */
  Optional<Duration> timeUntilPermitted(Instant now) {
    if (isPermitted(now)) {
      return Optional.of(Duration.ZERO);
    }
    return sharePerSecond == 0
        ? Optional.empty()
        : Optional.of(
            Duration.ofNanos(
                (long) Math.ceil((CAPACITY - tokens) / sharePerSecond * NANOS_PER_SECOND)));
  }

  private void refill(Instant now) {
    if (sharePerSecond > 0 && now.isAfter(refilledAt)) {
      double seconds = Duration.between(refilledAt, now).toNanos() / NANOS_PER_SECOND;
      tokens = Math.min(CAPACITY, tokens + seconds * sharePerSecond);
    }
    refilledAt = now;
  }
}
