package org.dragonflyhill.core;

import java.time.Duration;

/**
 * How long an idempotency key is recognised, counted in the time that the claims themselves carry.
 *
 * <pre>{@code
 * ClaimTable table = new ClaimTable(ClaimWindow.DEFAULT);
 * }</pre>
 *
 * <p>All nodes must use the same window, and the log must keep records for longer than {@link
 * #retentionPeriod()}. Immutable and thread-safe; no component is null.
 *
 * @param replayPeriod time for which a copy gets the outcome of the first one
 * @param gracePeriod time after that in which a copy is refused, longer than any deadline or clock
 *     skew
 */
public record ClaimWindow(Duration replayPeriod, Duration gracePeriod) {

  /** The window of the product. */
  public static final ClaimWindow DEFAULT =
      new ClaimWindow(Duration.ofHours(6), Duration.ofMinutes(30));

  /** Returns the time after which a key is forgotten. */
  public Duration retentionPeriod() {
    return replayPeriod.plus(gracePeriod);
  }
}
