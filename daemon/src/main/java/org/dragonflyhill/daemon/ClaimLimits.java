package org.dragonflyhill.daemon;

import java.time.Duration;

/**
 * Time limits of the claim protocol. Immutable and thread-safe; no component is null.
 *
 * @param claimTimeout maximum time to wait until a claim is won or lost
 * @param finalReadTimeout maximum duration of the last read of the log, made after the claim
 *     timeout and before the claim is given up
 * @param maxDispatchAge maximum age of a claim at which its request may be dispatched
 * @param maxRunningAge age of a claim after which its request no longer runs on any node
 * @param minNotExecutedAge minimum age of a claim that an operator may resolve as not executed
 */
record ClaimLimits(
    Duration claimTimeout,
    Duration finalReadTimeout,
    Duration maxDispatchAge,
    Duration maxRunningAge,
    Duration minNotExecutedAge) {

  /** The default limits. A service call may take 30 s after the latest possible dispatch. */
  static final ClaimLimits DEFAULT =
      new ClaimLimits(
          Duration.ofSeconds(3),
          Duration.ofSeconds(1),
          Duration.ofSeconds(5),
          Duration.ofSeconds(40),
          Duration.ofMinutes(2));
}
