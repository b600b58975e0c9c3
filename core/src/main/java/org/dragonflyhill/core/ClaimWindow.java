package org.dragonflyhill.core;

import java.time.Duration;

/**
 * How long idempotency keys are retained, measured by the claim times in the log.
 *
 * <pre>{@code
 * ClaimTable table = new ClaimTable(ClaimWindow.DEFAULT);
 * }</pre>
 *
 * <p>All nodes must use the same window, and the log must keep records for longer than {@link
 * #retentionPeriod()}. Immutable and thread-safe; no component is null.
 *
 * @param replayPeriod time for which a duplicate request gets the outcome of the original
 * @param gracePeriod time after the replay period in which a duplicate is rejected; must be longer
 *     than any request deadline and any clock skew
 */
public record ClaimWindow(Duration replayPeriod, Duration gracePeriod) {

  /** The window that all nodes use. */
  public static final ClaimWindow DEFAULT =
      new ClaimWindow(Duration.ofHours(6), Duration.ofMinutes(30));

  /** Returns the time after which a key is removed. */
  public Duration retentionPeriod() {
    return replayPeriod.plus(gracePeriod);
  }
}
