package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The rate of requests that a runner says it accepts from all nodes together, if it names one, and
 * this node's share of it as a token bucket.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class RunnerRateLimit {

  /** Maximum age of a reading that is reported to peers; a newer one follows with each answer. */
  private static final Duration REPORTED_AGE = Duration.ofSeconds(10);

  private Reading inForce = Reading.NONE;
  private Optional<Reading> own = Optional.empty();
  private final TokenBucket bucket = new TokenBucket();

  /** Returns the limit in force, in requests per second, empty if there is none. */
  public OptionalDouble perSecond() {
    return inForce.perSecond();
  }

  /**
   * Records what an answer of the runner says. Answers may overtake each other, so one without a
   * limit ends only a limit that was heard of before its request was sent.
   *
   * @param limit the limit that the answer names, empty if it names none
   * @param sentAt when the request was sent
   * @param now present time
   * @return whether the limit in force has changed
   */
  public boolean observe(OptionalDouble limit, Instant sentAt, Instant now) {
    Reading reading = new Reading(limit, limit.isPresent() ? now : sentAt);
    if (limit.isEmpty() && inForce.equals(Reading.NONE)) {
      return false;
    }
    if (own.isEmpty() || !reading.at().isBefore(own.get().at())) {
      own = Optional.of(reading);
    }
    return apply(reading);
  }

  /**
   * Records what another node has heard from the runner.
   *
   * @return whether the limit in force has changed
   */
  public boolean observeReported(OptionalDouble limit, Instant at) {
    return apply(new Reading(limit, at));
  }

  private boolean apply(Reading reading) {
    if (reading.at().isBefore(inForce.at())) {
      return false;
    }
    boolean isChanged = !reading.perSecond().equals(inForce.perSecond());
    inForce = reading;
    if (reading.perSecond().isEmpty()) {
      setShare(0, reading.at());
    }
    return isChanged;
  }

  /**
   * Returns what this node itself has heard last, for its peers, empty if that is nothing or long
   * ago. Readings of peers are left out, so that they do not go round for ever.
   */
  public Optional<RateLimitReport> report(long startedAtMillis, Instant now) {
    return own.map(
            reading ->
                new RateLimitReport(
                    startedAtMillis, reading.perSecond(), Duration.between(reading.at(), now)))
        .filter(report -> report.age().compareTo(REPORTED_AGE) <= 0);
  }

  /** Sets the share of the limit that this node may use, in requests per second. */
  public void setShare(double perSecond, Instant now) {
    bucket.setShare(perSecond, now);
  }

  /** Returns the share of the limit that this node may use, in requests per second. */
  public double sharePerSecond() {
    return bucket.sharePerSecond();
  }

  /** Returns whether this node may send a request now. */
  public boolean isPermitted(Instant now) {
    return inForce.perSecond().isEmpty() || bucket.isPermitted(now);
  }

  /** Records that a request is sent. */
  public void recordRequest(Instant now) {
    if (inForce.perSecond().isPresent()) {
      bucket.recordRequest(now);
    }
  }

  /** Returns how long this node may send no request, empty if it has no share of the limit. */
  public Optional<Duration> timeUntilPermitted(Instant now) {
    return inForce.perSecond().isEmpty()
        ? Optional.of(Duration.ZERO)
        : bucket.timeUntilPermitted(now);
  }

  /**
   * A limit and when it was heard of.
   *
   * @param perSecond requests per second, empty for no limit
   * @param at when the answer that named the limit arrived; for no limit, when the request was sent
   */
  private record Reading(OptionalDouble perSecond, Instant at) {
    static final Reading NONE = new Reading(OptionalDouble.empty(), Instant.MIN);
  }
}
