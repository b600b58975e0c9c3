package org.dragonflyhill.daemon.relay;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.relay.Route;
import org.testng.annotations.Test;

/** The time within which requests of a route end. */
public final class RouteDurationsTest {

  private static Route route(Route.Kind kind) {
    Duration timeout = Duration.ofSeconds(9);
    return new Route(
        "r", "h", "/", kind, timeout, timeout, 1, List.of(new Route.Share("s", 1)), 2, true, false);
  }

  /**
   * Guards against a request that must not be repeated and is cut at the end of a planned stop: the
   * longest of the latest requests counts for it, almost all for others, and old ones for none.
   */
  @Test
  public void longestCountsForRequestsThatMustNotBeRepeated() {
    RouteDurations durations = new RouteDurations();
    Route unsafe = route(Route.Kind.UNSAFE);
    assertEquals(durations.usual(unsafe), Optional.empty());
    durations.record(unsafe, Duration.ofSeconds(5));
    for (int i = 0; i < 99; i++) {
      durations.record(unsafe, Duration.ofMillis(20));
    }
    assertEquals(durations.usual(unsafe), Optional.of(Duration.ofSeconds(5)));
    assertEquals(durations.usual(route(Route.Kind.SAFE)), Optional.of(Duration.ofMillis(20)));
    durations.record(unsafe, Duration.ofMillis(20));
    assertEquals(durations.usual(unsafe), Optional.of(Duration.ofMillis(20)));
  }
}
