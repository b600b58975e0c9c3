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
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Order of weight changes, and the runner table. */
public final class RolloutTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);

  private RunnerTable table;
  private AnnouncedWeights announced;

  /** Creates a table of five runners with old weights. */
  @BeforeMethod
  public void listRunners() {
    announced = new AnnouncedWeights();
    announced.announce("m", 2, NOW);
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
        Optional.empty(),
        startedAtMillis);
  }

  private List<String> next(WeightsRollout rollout, Instant now) {
    List<String> ids = new ArrayList<>();
    rollout
        .nextOrders(
            WeightsRollout.outdatedRunners(table.all(), announced, Runner::running),
            table.all().size(),
            now)
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

  /** A lost answer to an order takes up the place of another change for a short time only. */
  @Test
  public void repeatsUnansweredOrdersSoon() {
    WeightsRollout rollout = new WeightsRollout();
    next(rollout, NOW);
    rollout.orderUnanswered("r2");
    Instant later = NOW.plus(WeightsRollout.UNANSWERED_ORDER_TIMEOUT);
    assertEquals(next(rollout, later.minusMillis(1)), List.of());
    assertEquals(next(rollout, later), List.of("r2"));
  }

  /** Runners that orders do not reach take up one place until the others have changed. */
  @Test
  public void unreachedRunnersTakeUpOnePlaceWhileOthersWait() {
    WeightsRollout rollout = new WeightsRollout();
    next(rollout, NOW);
    List.of("r1", "r2", "r3").forEach(id -> rollout.orderNotDelivered(id, NOW));
    Instant later = NOW.plus(WeightsRollout.UNANSWERED_ORDER_TIMEOUT);
    assertEquals(next(rollout, later), List.of("r1", "r4", "r5"));
    table.find("r4").orElseThrow().observeWeightVersion("m", 2);
    assertEquals(next(rollout, later.plusMillis(100)), List.of("r2"));
    table.find("r5").orElseThrow().observeWeightVersion("m", 2);
    assertEquals(next(rollout, later.plusMillis(200)), List.of("r3"));
  }

  /** A runner that answers none of its orders counts as unreached until it answers one. */
  @Test
  public void runnerWithoutAnyAnswerIsUnreached() {
    WeightsRollout rollout = new WeightsRollout();
    Instant now = NOW;
    for (int i = 0; i < WeightsRollout.MAX_UNANSWERED_ORDERS; i++) {
      assertFalse(rollout.isUnreached("r1"));
      assertTrue(next(rollout, now).contains("r1"));
      rollout.orderUnanswered("r1");
      now = now.plus(WeightsRollout.UNANSWERED_ORDER_TIMEOUT);
    }
    assertTrue(rollout.isUnreached("r1"));
    for (int i = 0; i < 5; i++) {
      rollout.orderUnanswered("r1");
    }
    assertFalse(rollout.isPaused("r1", now), "it may carry the orders out");
    rollout.orderAnswered("r1");
    assertFalse(rollout.isUnreached("r1"));
  }

  /** A runner that orders do not reach is left to other nodes for a while. */
  @Test
  public void pausesOrdersToUnreachedRunner() {
    WeightsRollout rollout = new WeightsRollout();
    Instant now = NOW;
    while (!rollout.isPaused("r1", now)) {
      assertTrue(next(rollout, now).contains("r1"));
      rollout.orderNotDelivered("r1", now);
      now = now.plus(WeightsRollout.UNANSWERED_ORDER_TIMEOUT);
      assertTrue(now.isBefore(NOW.plusSeconds(5)));
    }
    assertFalse(next(rollout, now).contains("r1"));
    assertTrue(next(rollout, now.plus(WeightsRollout.PAUSE)).contains("r1"));
    rollout.orderAnswered("r1");
    assertFalse(rollout.isPaused("r1", now));
  }

  /** In a large service, the number of concurrent changes grows with the runners. */
  @Test
  public void changesMoreAtOnceInLargeServices() {
    for (int i = 6; i <= 47; i++) {
      table.put(info(i, false, 1), NOW);
    }
    assertEquals(next(new WeightsRollout(), NOW).size(), 13);
  }

  /**
   * Two versions in quick succession: the runners that are two versions behind change first, since
   * requests must stop beginning on their weights earlier.
   */
  @Test
  public void oldestWeightsChangeFirst() {
    table.find("r1").orElseThrow().observeWeightVersion("m", 2);
    table.find("r2").orElseThrow().observeWeightVersion("m", 2);
    table.find("r5").orElseThrow().requestSent(1, 10, 10, NOW);
    announced.announce("m", 3, NOW.plusMillis(1_500));
    assertEquals(next(new WeightsRollout(), NOW.plusMillis(1_500)), List.of("r3", "r4", "r5"));
  }

  /** A change that is complete frees its place, also if a newer version was announced meanwhile. */
  @Test
  public void completeChangeFreesItsPlaceDespiteNewerVersion() {
    WeightsRollout rollout = new WeightsRollout();
    assertEquals(next(rollout, NOW), List.of("r1", "r2", "r3"));
    announced.announce("m", 3, NOW.plusMillis(100));
    table.find("r1").orElseThrow().observeWeightVersion("m", 2);
    assertEquals(next(rollout, NOW.plusMillis(200)), List.of("r4"));
  }

  /**
   * Pattern of a day that broke the time limit: a second version 1.5 s after the first, the node
   * that gives orders is killed 0.3 s after the first, another takes over 2 s later, and every
   * second order is neither answered nor carried out. No runner keeps replaced weights for longer
   * than the limit.
   */
  @Test
  public void overlappingVersionsEndInTimeDespiteLostOrders() {
    final WeightsDeadline deadline = new WeightsDeadline(Duration.ofSeconds(6));
    for (int i = 6; i <= 8; i++) {
      table.put(info(i, false, 1), NOW);
    }
    Map<Runner, Instant> completeAt = new HashMap<>();
    Map<Runner, Long> ordered = new HashMap<>();
    WeightsRollout rollout = new WeightsRollout();
    int orders = 0;
    for (int millis = 0; millis <= 8_000; millis += 100) {
      Instant now = NOW.plusMillis(millis);
      if (millis == 1_500) {
        announced.announce("m", 3, now);
      }
      completeAt.forEach(
          (runner, at) -> {
            if (!now.isBefore(at)) {
              runner.observeWeightVersion("m", ordered.get(runner));
            }
          });
      completeAt.values().removeIf(at -> !now.isBefore(at));
      for (Runner runner : table.all()) {
        boolean isLate =
            announced
                .replacedAt("m", runner.weightVersion("m"))
                .filter(at -> now.isAfter(at.plus(deadline.limit())))
                .isPresent();
        assertFalse(isLate, runner.id() + " has old weights after " + millis + " ms");
      }
      if (millis == 2_300) {
        rollout = new WeightsRollout();
      }
      if (millis > 300 && millis < 2_300) {
        continue;
      }
      List<WeightsRollout.OutdatedRunner> outdated =
          WeightsRollout.outdatedRunners(table.all(), announced, Runner::running);
      for (WeightsRollout.OutdatedRunner entry : rollout.nextOrders(outdated, 8, now)) {
        if (orders++ % 2 == 1) {
          rollout.orderUnanswered(entry.runner().id());
        } else {
          boolean isUrgent = deadline.isChangeUrgent(entry.replacedAt(), now);
          completeAt.put(entry.runner(), now.plusMillis(isUrgent ? 300 : 1_500));
          ordered.put(entry.runner(), entry.version());
        }
      }
    }
    assertTrue(table.all().stream().allMatch(runner -> runner.weightVersion("m") == 3));
  }

  /** Returns whether runners that do not answer orders answer the queries before them. */
  @DataProvider
  public static Object[][] areQueriesAnswered() {
    return new Object[][] {{true}, {false}};
  }

  /**
   * Guards against a rollout that stops for good: three listed runners do not answer orders, and as
   * the least loaded ones they were ordered again and again while five others kept old weights.
   */
  @Test(dataProvider = "areQueriesAnswered")
  public void runnersThatDoNotAnswerDoNotStopTheOthers(boolean areQueriesAnswered) {
    final Set<String> silent = Set.of("r1", "r2", "r3");
    final WeightsDeadline deadline = new WeightsDeadline(Duration.ofSeconds(6));
    for (int i = 6; i <= 8; i++) {
      table.put(info(i, false, 1), NOW);
    }
    table.all().stream()
        .filter(runner -> !silent.contains(runner.id()))
        .forEach(runner -> runner.requestSent(1, 10, 10, NOW));
    Map<Runner, Instant> completeAt = new HashMap<>();
    Map<String, Instant> lostAt = new HashMap<>();
    WeightsRollout rollout = new WeightsRollout();
    for (int millis = 0; millis <= 6_000; millis += 100) {
      Instant now = NOW.plusMillis(millis);
      completeAt.forEach(
          (runner, at) -> {
            if (!now.isBefore(at)) {
              runner.observeWeightVersion("m", 2);
            }
          });
      lostAt.entrySet().stream()
          .filter(entry -> entry.getValue().equals(now))
          .map(Map.Entry::getKey)
          .forEach(
              id -> {
                if (areQueriesAnswered) {
                  rollout.orderUnanswered(id);
                } else {
                  rollout.orderNotDelivered(id, now);
                }
              });
      for (WeightsRollout.OutdatedRunner entry :
          rollout.nextOrders(
              WeightsRollout.outdatedRunners(table.all(), announced, Runner::running), 8, now)) {
        if (silent.contains(entry.runner().id())) {
          lostAt.put(entry.runner().id(), now.plusMillis(800));
        } else {
          completeAt.put(entry.runner(), now.plusMillis(800));
        }
      }
      for (Runner runner : table.all()) {
        boolean isLate =
            !deadline.maySend(announced.replacedAt("m", runner.weightVersion("m")), 0, now);
        assertFalse(
            isLate && !silent.contains(runner.id()),
            runner.id() + " has old weights after " + millis + " ms");
      }
    }
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

  /**
   * Guards against new requests at a runner that leaves: a host list restored from a copy shows its
   * older entry, as ready.
   */
  @Test
  public void drainingIsNotUndoneByAnOlderEntry() {
    table.put(info(1, true, 1), NOW);
    table.put(info(1, false, 1), NOW.plusMillis(10));
    assertEquals(table.availableRunners("s").size(), 4);
    table.put(info(1, false, 2), NOW.plusMillis(20));
    assertEquals(table.availableRunners("s").size(), 5, "with the next process");
  }

  /** A process that was removed is known to have left until it is listed anew. */
  @Test
  public void remembersWhichProcessesLeft() {
    assertFalse(table.hasLeft(info(1, false, 1), NOW));
    table.remove("r1", NOW);
    assertTrue(table.hasLeft(info(1, false, 1), NOW));
    assertFalse(table.hasLeft(info(1, false, 2), NOW), "another process");
    table.put(info(1, false, 1), NOW.plusSeconds(1));
    assertFalse(table.hasLeft(info(1, false, 1), NOW.plusSeconds(1)), "registered again");
    table.remove("r2", NOW);
    assertTrue(table.hasLeft(info(2, false, 1), NOW.plusSeconds(60)));
    assertFalse(table.hasLeft(info(2, false, 1), NOW.plusSeconds(61)), "after a minute");
  }
}
