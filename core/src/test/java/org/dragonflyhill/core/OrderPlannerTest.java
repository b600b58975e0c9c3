package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.dragonflyhill.core.OrderPlanner.Order;
import org.dragonflyhill.core.OrderPlanner.RunnerState;
import org.dragonflyhill.core.OrderPlanner.Weights;
import org.testng.annotations.Test;

/** Tests of {@link OrderPlanner}. */
public final class OrderPlannerTest {

  private static final Weights OLD = new Weights("m", "v1");
  private static final Weights NEW = new Weights("m", "v2");

  private static RunnerState runner(String name, Weights reported, boolean loading, int used) {
    return new RunnerState(name, NEW, reported, loading, true, 8, used);
  }

  @Test
  public void loadsAtMostTwoRunnersAtOnce() {
    var runners =
        List.of(runner("a", OLD, false, 0), runner("b", OLD, false, 0), runner("c", OLD, false, 0));
    assertEquals(OrderPlanner.plan(runners, 0).size(), 2);
  }

  @Test
  public void countsLoadsInProgress() {
    var runners =
        List.of(runner("a", OLD, true, 0), runner("b", OLD, false, 0), runner("c", OLD, false, 0));
    assertEquals(OrderPlanner.plan(runners, 0), List.of(new Order("b", NEW)));
  }

  @Test
  public void keepsNeededSlots() {
    var runners = List.of(runner("a", OLD, false, 4), runner("b", OLD, false, 6));
    assertEquals(OrderPlanner.plan(runners, 8), List.of(new Order("a", NEW)));
    assertEquals(OrderPlanner.plan(runners, 9), List.of());
  }

  @Test
  public void alwaysLoadsRunnerWithoutWeights() {
    var runners = List.of(runner("a", Weights.NONE, false, 0));
    assertEquals(OrderPlanner.plan(runners, 100), List.of(new Order("a", NEW)));
  }

  /** A runner without weights serves nobody, so its slots do not count as serving. */
  @Test
  public void runnerWithoutWeightsServesNoSlots() {
    var runners = List.of(runner("a", OLD, false, 0), runner("b", Weights.NONE, false, 0));
    assertEquals(OrderPlanner.plan(runners, 8), List.of(new Order("b", NEW)));
    assertEquals(OrderPlanner.plan(runners, 0).size(), 2);
  }

  @Test
  public void skipsRunnerThatHasWantedWeights() {
    assertEquals(OrderPlanner.plan(List.of(runner("a", NEW, false, 0)), 0), List.of());
  }
}
