package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * How much slower than their sheets say fetches from runners and stores have been lately. What was
 * learnt fades, so that a link that has recovered is used again.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class FetchSlowdowns {

  /** Time in which what was learnt halves. */
  public static final Duration HALF_LIFE = Duration.ofSeconds(2);

  private static final double SMOOTHING_FACTOR = 0.25;
  private static final double MAX_FACTOR = 40;

  private final Map<Endpoint, Estimate> estimates = new HashMap<>();

  /** Notes how long a fetch took against what its sheet says, in seconds. */
  public void recordFetch(Endpoint source, double seconds, double expected, Instant now) {
    double factor = Math.max(1, Math.min(MAX_FACTOR, seconds / Math.max(expected, 0.001)));
    double before = factor(source, now);
    estimates.put(source, new Estimate(before + SMOOTHING_FACTOR * (factor - before), now));
  }

  /** Returns the factor by which fetches from a source take longer, at least 1. */
  public double factor(Endpoint source, Instant now) {
    Estimate known = estimates.get(source);
    if (known == null) {
      return 1;
    }
    double halvings = (double) Duration.between(known.at(), now).toNanos() / HALF_LIFE.toNanos();
    return 1 + (known.factor() - 1) * Math.pow(0.5, Math.max(0, halvings));
  }

  private record Estimate(double factor, Instant at) {}
}
