package org.dragonflyhill.core.relay;

import java.time.Instant;
import java.util.OptionalDouble;

/**
 * The rate of requests that a runner says it accepts from all nodes together, if it names one.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class RunnerRateLimit {

  private OptionalDouble perSecond = OptionalDouble.empty();
  private Instant asOf = Instant.MIN;

  /** Returns the limit in force, in requests per second, empty if there is none. */
  public OptionalDouble perSecond() {
    return perSecond;
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
    return apply(limit, limit.isPresent() ? now : sentAt);
  }

  private boolean apply(OptionalDouble limit, Instant at) {
    if (at.isBefore(asOf)) {
      return false;
    }
    final boolean isChanged = !limit.equals(perSecond);
    asOf = at;
    perSecond = limit;
    return isChanged;
  }
}
