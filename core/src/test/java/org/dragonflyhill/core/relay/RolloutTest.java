package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Order in which runners change their weights, and the table of runners. */
public final class RolloutTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final Map<String, Long> NEWEST = Map.of("m", 2L);

  private RunnerTable table;

  /** Lists five runners with old weights. */
  @BeforeMethod
  public void listRunners() {
    table = new RunnerTable();
    for (int i = 1; i <= 5; i++) {
      table.put(info(i, false, 1), NOW);
    }
  }

  private static RunnerInfo info(int i, boolean isDraining, long born) {
    return new RunnerInfo(
        "r" + i, "s", new Endpoint("10.0.0." + i, 80), "z1", 64, isDraining, Map.of("m", 1L), born);
  }

  private List<String> next(WeightsRollout rollout, Instant now) {
    List<String> ids = new ArrayList<>();
    rollout
        .nextOrders(WeightsRollout.outdatedRunners(table.all(), NEWEST, Runner::running), now)
        .forEach(entry -> ids.add(entry.runner().id()));
    return ids;
  }

  /** A few at a time, the least loaded first; the next follows when one is done. */
  @Test
  public void changesFewAtOnce() {
    WeightsRollout rollout = new WeightsRollout();
    table.find("r1").orElseThrow().requestSent(1, 10, 10, NOW);
    assertEquals(next(rollout, NOW), List.of("r2", "r3", "r4"));
    assertEquals(next(rollout, NOW.plusMillis(100)), List.of());
    table.find("r3").orElseThrow().observeWeightVersion("m", 2);
    assertEquals(next(rollout, NOW.plusMillis(200)), List.of("r5"));
  }

  /** An order without effect is given again after a while. */
  @Test
  public void ordersAgain() {
    WeightsRollout rollout = new WeightsRollout();
    next(rollout, NOW);
    Instant later = NOW.plus(WeightsRollout.ORDER_TIMEOUT).plusMillis(1);
    assertEquals(next(rollout, later), List.of("r1", "r2", "r3"));
  }

  /** Leaving runners are left alone. */
  @Test
  public void skipsLeavingRunners() {
    table.put(info(1, true, 1), NOW);
    assertFalse(next(new WeightsRollout(), NOW).contains("r1"));
  }

  /** Versions that were seen never go back, whatever an older entry of the list says. */
  @Test
  public void versionsOnlyGrow() {
    Runner runner = table.find("r1").orElseThrow();
    runner.observeWeightVersion("m", 2);
    table.put(info(1, false, 1), NOW.plusMillis(100));
    assertEquals(runner.weightVersion("m"), 2);
  }

  /** The same id with a later birth is a new start that knows nothing of before. */
  @Test
  public void newStartReplacesTheOld() {
    table.find("r1").orElseThrow().observeWeightVersion("m", 2);
    assertTrue(table.put(info(1, false, 2), NOW));
    assertEquals(table.find("r1").orElseThrow().weightVersion("m"), 1);
    assertFalse(table.put(info(1, false, 1), NOW), "an entry of the old start comes late");
    assertEquals(table.find("r1").orElseThrow().info().startedAtMillis(), 2);
  }

  /** An entry that goes while the list is steady means that the runner is gone. */
  @Test
  public void removesAtOnceWhileTheListIsSteady() {
    assertTrue(table.remove("r1", NOW));
    assertTrue(table.find("r1").isEmpty());
  }

  /** Entries lapse in an outage of the list; a runner is kept until it had time to come back. */
  @Test
  public void keepsRunnersThatLapsedInAnOutage() {
    table.hostListRestored(NOW);
    assertFalse(table.remove("r1", NOW.plusMillis(10)));
    assertFalse(table.remove("r2", NOW.plusMillis(10)));
    assertEquals(table.availableRunners("s").size(), 5);
    table.put(info(2, false, 1), NOW.plusMillis(800));
    assertEquals(table.removeExpired(NOW.plusMillis(1_899)), List.of());
    assertEquals(table.removeExpired(NOW.plusMillis(1_900)), List.of("r1"));
    assertEquals(table.availableRunners("s").size(), 4);
  }

  /** A leaving runner gets nothing new, also right after an outage. */
  @Test
  public void leavingRunnerIsClosed() {
    table.hostListRestored(NOW);
    table.put(info(1, true, 1), NOW);
    assertEquals(table.availableRunners("s").size(), 4);
    assertTrue(table.remove("r1", NOW.plusMillis(10)));
  }
}
