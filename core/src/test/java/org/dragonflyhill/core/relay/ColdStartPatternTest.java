package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Requests that a cold runner gets from many nodes in any second. */
public final class ColdStartPatternTest {

  private static final Instant START = Instant.ofEpochSecond(1_000);
  private static final double PER_SECOND = 14;
  private static final ColdStartLimits LIMITS = new ColdStartLimits(1.5, 5);
  private static final double BOUND = PER_SECOND * 1.5 + 5;
  private static final Duration COLD = Duration.ofSeconds(3);

  private static List<String> names(int nodes) {
    return IntStream.range(0, nodes).mapToObj(i -> "node-" + i).toList();
  }

  private static RunnerColdStart coldRunner(String node, List<String> registered) {
    RunnerColdStart state = new RunnerColdStart();
    state.recordCold(COLD, START);
    double share = LIMITS.share("runner", PER_SECOND, node, registered);
    state.setShare(OptionalDouble.of(share), START);
    return state;
  }

  /**
   * Lets each node send whenever it may, as under a burst of requests, and returns the most
   * requests that the runner gets in a second.
   */
  private static int mostPerSecond(Map<String, List<String>> registeredByNode, long seed) {
    Random random = new Random(seed);
    List<Instant> arrivals = new ArrayList<>();
    registeredByNode.forEach(
        (node, registered) -> {
          RunnerColdStart state = coldRunner(node, registered);
          Instant now = START.plusMillis(random.nextInt(900));
          while (now.isBefore(START.plus(COLD))) {
            if (state.isPermitted(now)) {
              state.recordRequest(now);
              arrivals.add(now);
            }
            now = now.plusNanos(random.nextInt(4_000_000));
          }
        });
    arrivals.sort(null);
    int most = 0;
    for (int first = 0, last = 0; last < arrivals.size(); last++) {
      while (Duration.between(arrivals.get(first), arrivals.get(last)).toMillis() >= 1_000) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /** A burst at all nodes stays within nine tenths of the bound, and the runner is used. */
  @Test
  public void burstAtAllNodesStaysBelowBound() {
    for (int nodes : new int[] {1, 4, 36, 143, 320}) {
      for (long seed = 0; seed < 20; seed++) {
        List<String> all = names(nodes);
        Map<String, List<String>> views = new HashMap<>();
        all.forEach(node -> views.put(node, all));
        int most = mostPerSecond(views, seed);
        assertTrue(most <= 0.9 * BOUND, nodes + " nodes, seed " + seed + ": " + most);
        assertTrue(most >= PER_SECOND * 0.7, nodes + " nodes, seed " + seed + ": " + most);
      }
    }
  }

  /**
   * Guards against shares that depend on who hears whom: nodes that register while a runner is cold
   * are known to some nodes only.
   */
  @Test
  public void registrationsUnderWayStayBelowBound() {
    List<String> all = names(40);
    for (long seed = 0; seed < 50; seed++) {
      Map<String, List<String>> views = new HashMap<>();
      for (String node : all) {
        boolean knowsNew = (node + seed).hashCode() % 2 == 0 || all.indexOf(node) >= 36;
        views.put(node, all.subList(0, knowsNew ? 40 : 36));
      }
      int most = mostPerSecond(views, seed);
      assertTrue(most <= BOUND, "seed " + seed + ": " + most);
    }
  }

  /** A node that has just started does not know with whom it shares the runner. */
  @Test
  public void unregisteredNodeSendsNothing() {
    assertEquals(LIMITS.share("runner", PER_SECOND, "new", List.of()), 0.0);
    RunnerColdStart state = coldRunner("new", List.of());
    assertFalse(state.isPermitted(START.plusSeconds(1)));
    assertEquals(
        state.timeUntilPermitted(START.plusSeconds(1)), Optional.of(Duration.ofSeconds(2)));
    assertTrue(state.isPermitted(START.plus(COLD)));
  }

  /** An entry written before the runner became cold again must not end the cold time. */
  @Test
  public void longestColdTimeHolds() {
    RunnerColdStart state = new RunnerColdStart();
    assertTrue(state.recordCold(COLD, START));
    assertFalse(state.recordCold(Duration.ofMillis(200), START.plusMillis(500)));
    assertTrue(state.isCold(START.plusMillis(2_900)));
    assertFalse(state.isCold(START.plus(COLD)));
  }

  /** Deployments that name no limit for cold runners use these like all others. */
  @Test
  public void coldRunnerWithoutLimitIsUsedFreely() {
    RunnerColdStart state = new RunnerColdStart();
    state.recordCold(COLD, START);
    state.setShare(OptionalDouble.empty(), START);
    for (int i = 0; i < 100; i++) {
      assertTrue(state.isPermitted(START));
      state.recordRequest(START);
    }
  }

  /** A tolerance too small for one burst still lets one node send, more slowly. */
  @Test
  public void smallBoundsLeaveOneSender() {
    ColdStartLimits tight = new ColdStartLimits(1, 0);
    List<String> all = names(36);
    double sum = all.stream().mapToDouble(node -> tight.share("runner", 2, node, all)).sum();
    assertEquals(sum, 0.8, 1e-9);
  }
}
