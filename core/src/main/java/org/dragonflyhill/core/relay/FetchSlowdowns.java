package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how much slower recent fetches from runners and stores were than their nominal
 * bandwidth suggests. Estimates decay, so that a link that has recovered is used again.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class FetchSlowdowns {

  /** Half-life of an estimate. */
  public static final Duration HALF_LIFE = Duration.ofSeconds(2);

  private static final double SMOOTHING_FACTOR = 0.25;
  private static final double MAX_FACTOR = 40;

  private final Map<Endpoint, Estimate> estimates = new HashMap<>();

  /**
   * Updates the estimate of a source from a fetch.
   *
   * @param source runner or store from which the part was fetched
   * @param seconds measured time
   * @param expected time by the nominal bandwidth, in seconds
   * @param now present time
   */
  public void recordFetch(Endpoint source, double seconds, double expected, Instant now) {
    double factor = Math.max(1, Math.min(MAX_FACTOR, seconds / Math.max(expected, 0.001)));
    double before = factor(source, now);
    estimates.put(source, new Estimate(before + SMOOTHING_FACTOR * (factor - before), now));
  }

  /** Returns the factor by which fetches from a source take longer than nominal, at least 1. */
  public double factor(Endpoint source, Instant now) {
    Estimate estimate = estimates.get(source);
    if (estimate == null) {
      return 1;
    }
    double halvings =
        (double) Duration.between(estimate.updatedAt(), now).toNanos() / HALF_LIFE.toNanos();
    return 1 + (estimate.factor() - 1) * Math.pow(0.5, Math.max(0, halvings));
  }

  private record Estimate(double factor, Instant updatedAt) {}
}
