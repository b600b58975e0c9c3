package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Whether a runner is cold, and this node's share of the requests that it accepts meanwhile.
 *
 * <p>A runner is cold for some time after it starts, and may become cold again at any time. It
 * accepts few requests then and crashes under more.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class RunnerColdStart {

  private final TokenBucket bucket = new TokenBucket();
  private Instant coldUntil = Instant.MIN;
  private boolean isLimited;

  RunnerColdStart() {}

  /**
   * Records for how long the runner stays cold. An earlier, longer time stays in force, since news
   * of a runner overtake each other.
   *
   * @return whether the runner was not known to be cold
   */
  public boolean recordCold(Duration remaining, Instant now) {
    final boolean wasCold = isCold(now);
    Instant until = now.plus(remaining);
    coldUntil = until.isAfter(coldUntil) ? until : coldUntil;
    return !wasCold && isCold(now);
  }

  /** Returns whether the runner counts as cold. */
  public boolean isCold(Instant now) {
    return now.isBefore(coldUntil);
  }

  /** Returns for how long the runner counts as cold, zero if it does not. */
  public Duration remaining(Instant now) {
    return isCold(now) ? Duration.between(now, coldUntil) : Duration.ZERO;
  }

  /**
   * Sets the requests per second that this node may send while the runner is cold, empty if a cold
   * runner accepts as many as a warm one.
   */
  public void setShare(OptionalDouble perSecond, Instant now) {
    isLimited = perSecond.isPresent();
    bucket.setShare(perSecond.orElse(0), now);
  }

  /** Returns whether the runner is cold and accepts fewer requests than when it is warm. */
  boolean isLimited(Instant now) {
    return isLimited && isCold(now);
  }

  /** Returns the requests per second that this node may send while the runner is cold. */
  public double sharePerSecond() {
    return bucket.sharePerSecond();
  }

  /** Returns whether this node may send a request now. */
  boolean isPermitted(Instant now) {
    return !isLimited(now) || bucket.isPermitted(now);
  }

  /** Returns how long this node may send no request, empty if it has no share. */
  Optional<Duration> timeUntilPermitted(Instant now) {
    if (!isLimited(now)) {
      return Optional.of(Duration.ZERO);
    }
    Duration remaining = remaining(now);
    return bucket
        .timeUntilPermitted(now)
        .filter(time -> time.compareTo(remaining) <= 0)
        .or(() -> Optional.of(remaining));
  }

  /** Records that a request is sent. */
  void recordRequest(Instant now) {
    if (isLimited(now)) {
      bucket.recordRequest(now);
    }
  }
}
