package org.dragonflyhill.daemon;

import java.time.Duration;

/**
 * Time limits of the claim protocol. Immutable and thread-safe; no component is null.
 *
 * @param claimTimeout longest time until a claim is decided or given up
 * @param finalReadTimeout longest time of the read of the log that precedes giving up
 * @param maxDispatchAge age of a claim up to which its request may be sent
 * @param maxRunningAge age of a claim after which its request no longer runs, whatever node claimed
 *     it
 * @param minNotExecutedAge age of a claim from which an operator may call it not executed
 */
record ClaimLimits(
    Duration claimTimeout,
    Duration finalReadTimeout,
    Duration maxDispatchAge,
    Duration maxRunningAge,
    Duration minNotExecutedAge) {

  /** The limits of the product; a service call may take 30 s after the last dispatch. */
  static final ClaimLimits DEFAULT =
      new ClaimLimits(
          Duration.ofSeconds(3),
          Duration.ofSeconds(1),
          Duration.ofSeconds(5),
          Duration.ofSeconds(40),
          Duration.ofMinutes(2));
}
