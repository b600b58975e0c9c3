package org.dragonflyhill.daemon.relay;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.SlidingWindowReservoir;
import com.codahale.metrics.Snapshot;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.dragonflyhill.core.relay.Route;

/** How long the latest requests of each route took, from their arrival to the end of the answer. */
final class RouteDurations {

  /** Number of requests of a route that are remembered. */
  private static final int SAMPLES = 100;

  /** Number of routes that are remembered, those with the latest requests. */
  private static final int MAX_ROUTES = 500;

  /** Share of requests that may be repeated elsewhere which take no longer than the usual time. */
  private static final double REPEATABLE_QUANTILE = 0.95;

  private final Map<String, Reservoir> durations =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Reservoir> eldest) {
          return size() > MAX_ROUTES;
        }
      };

  void record(Route route, Duration duration) {
    durations
        .computeIfAbsent(route.name(), any -> new SlidingWindowReservoir(SAMPLES))
        .update(duration.toNanos());
  }

  /**
   * Returns the time within which requests of a route end: all of the latest ones if they must not
   * be repeated, otherwise almost all. Empty if none is known.
   */
  Optional<Duration> usual(Route route) {
    return Optional.ofNullable(durations.get(route.name()))
        .map(Reservoir::getSnapshot)
        .map(latest -> route.isRepeatable() ? quantile(latest) : latest.getMax())
        .map(Duration::ofNanos);
  }

  private static long quantile(Snapshot latest) {
    return (long) latest.getValue(REPEATABLE_QUANTILE);
  }
}
