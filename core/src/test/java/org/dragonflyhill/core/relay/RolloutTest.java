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

/** Order of weight changes, and the runner table. */
public final class RolloutTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final Map<String, Long> NEWEST = Map.of("m", 2L);

  private RunnerTable table;

  /** Creates a table of five runners with old weights. */
  @BeforeMethod
  public void listRunners() {
    table = new RunnerTable();
    for (int i = 1; i <= 5; i++) {
      table.put(info(i, false, 1), NOW);
    }
  }

  private static RunnerInfo info(int i, boolean isDraining, long startedAtMillis) {
    return new RunnerInfo(
        "r" + i,
        "s",
        new Endpoint("10.0.0." + i, 80),
        "z1",
        64,
        isDraining,
        Map.of("m", 1L),
        startedAtMillis);
  }

  private List<String> next(WeightsRollout rollout, Instant now) {
    List<String> ids = new ArrayList<>();
    rollout
        .nextOrders(WeightsRollout.outdatedRunners(table.all(), NEWEST, Runner::running), now)
        .forEach(entry -> ids.add(entry.runner().id()));
    return ids;
  }

  /** The least loaded runners change first; the next one follows when a change is complete. */
  @Test
  public void changesFewAtOnce() {
    WeightsRollout rollout = new WeightsRollout();
    table.find("r1").orElseThrow().requestSent(1, 10, 10, NOW);
    assertEquals(next(rollout, NOW), List.of("r2", "r3", "r4"));
    assertEquals(next(rollout, NOW.plusMillis(100)), List.of());
    table.find("r3").orElseThrow().observeWeightVersion("m", 2);
    assertEquals(next(rollout, NOW.plusMillis(200)), List.of("r5"));
  }

  /** An order without visible effect is given again after a timeout. */
  @Test
  public void repeatsOrdersWithoutEffect() {
    WeightsRollout rollout = new WeightsRollout();
    next(rollout, NOW);
    Instant later = NOW.plus(WeightsRollout.ORDER_TIMEOUT).plusMillis(1);
    assertEquals(next(rollout, later), List.of("r1", "r2", "r3"));
  }

  /** Draining runners get no orders. */
  @Test
  public void skipsDrainingRunners() {
    table.put(info(1, true, 1), NOW);
    assertFalse(next(new WeightsRollout(), NOW).contains("r1"));
  }

  /** A stale entry of the host list does not lower an observed weight version. */
  @Test
  public void versionsOnlyIncrease() {
    Runner runner = table.find("r1").orElseThrow();
    runner.observeWeightVersion("m", 2);
    table.put(info(1, false, 1), NOW.plusMillis(100));
    assertEquals(runner.weightVersion("m"), 2);
  }

  /** An entry with the same id and a later start time replaces the runner and its state. */
  @Test
  public void newInstanceReplacesTheOldOne() {
    table.find("r1").orElseThrow().observeWeightVersion("m", 2);
    assertTrue(table.put(info(1, false, 2), NOW));
    assertEquals(table.find("r1").orElseThrow().weightVersion("m"), 1);
    assertFalse(table.put(info(1, false, 1), NOW), "entry of the old instance arrives late");
    assertEquals(table.find("r1").orElseThrow().info().startedAtMillis(), 2);
  }

  /** Without an outage of the host list, a runner is removed together with its entry. */
  @Test
  public void removesAtOnceWithoutOutage() {
    assertTrue(table.remove("r1", NOW));
    assertTrue(table.find("r1").isEmpty());
  }

  /** A runner whose entry expired in an outage is kept until it had time to register again. */
  @Test
  public void keepsRunnersWhoseEntriesExpiredInAnOutage() {
    table.hostListRestored(NOW);
    assertFalse(table.remove("r1", NOW.plusMillis(10)));
    assertFalse(table.remove("r2", NOW.plusMillis(10)));
    assertEquals(table.availableRunners("s").size(), 5);
    table.put(info(2, false, 1), NOW.plusMillis(800));
    assertEquals(table.removeExpired(NOW.plusMillis(1_899)), List.of());
    assertEquals(table.removeExpired(NOW.plusMillis(1_900)), List.of("r1"));
    assertEquals(table.availableRunners("s").size(), 4);
  }

  /** A draining runner gets no new requests, and is removed at once even after an outage. */
  @Test
  public void drainingRunnerIsNotAvailable() {
    table.hostListRestored(NOW);
    table.put(info(1, true, 1), NOW);
    assertEquals(table.availableRunners("s").size(), 4);
    assertTrue(table.remove("r1", NOW.plusMillis(10)));
  }
}
