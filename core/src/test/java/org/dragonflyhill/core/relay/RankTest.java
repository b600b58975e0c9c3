package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.testng.annotations.Test;

/** Scheduling ranks of requests of different organisations and routes. */
public final class RankTest {

  private static final int CHECK = 0;
  private static final int QUESTION = 1;
  private static final int ADVICE = 2;

  private static int rank(int routePriority, Optional<Organisation> organisation) {
    Route route =
        new Route(
            "r",
            "h",
            "/",
            Route.Kind.STREAM,
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            routePriority,
            List.of(),
            1,
            true,
            false);
    return RelayConfiguration.rank(route, organisation);
  }

  private static Optional<Organisation> organisation(int priority) {
    return Optional.of(new Organisation("o", Set.of("k"), OptionalInt.of(priority), false));
  }

  @Test
  public void priorityOfOrganisationGoesFirst() {
    assertTrue(rank(ADVICE, organisation(0)) < rank(CHECK, organisation(1)));
  }

  /**
   * Nearly all organisations of the Strunova deployment have priority 1, so ranks from the
   * organisation alone left short checks waiting behind long prompts.
   */
  @Test
  public void priorityOfRouteDecidesAmongEqualOrganisations() {
    assertTrue(rank(CHECK, organisation(1)) < rank(QUESTION, organisation(1)));
    assertTrue(rank(QUESTION, organisation(1)) < rank(ADVICE, organisation(1)));
  }

  @Test
  public void priorityOfRouteCountsAloneWithoutOrganisation() {
    assertEquals(rank(CHECK, Optional.empty()), 0);
    assertTrue(rank(QUESTION, Optional.empty()) < rank(ADVICE, Optional.empty()));
  }

  @Test
  public void ranksStayInTheRangeOfRunners() {
    assertEquals(rank(100, organisation(100)), Runner.RANKS - 1);
    assertEquals(rank(100, Optional.empty()), Runner.RANKS - 1);
  }
}
