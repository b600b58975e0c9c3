package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.Test;

/** The time limit for replaced weights, and who may act on it. */
public final class WeightsDeadlineTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final WeightsDeadline DEADLINE = new WeightsDeadline(Duration.ofSeconds(6));
  private static final Prompt PROMPT =
      new Prompt("m", 1_000, 10, List.of(new Prompt.Part("p", 1_000)));

  private final AnnouncedWeights announced = new AnnouncedWeights();

  private static Runner runner(String id, long version) {
    Endpoint endpoint = new Endpoint("10.0.0." + version, 80);
    return new Runner(
        new RunnerInfo(
            id, "s", endpoint, "z1", 64, false, Map.of("m", version), Optional.empty(), 1),
        NOW);
  }

  private Optional<String> select(List<Runner> runners, Instant now) {
    var selector =
        new RunnerSelector(new PartDirectory(), new PeerTable(), announced, DEADLINE, "z1");
    var request = new RunnerSelector.Request(PROMPT, v -> "m@" + v, "k", 1, 100_000, 1);
    return selector
        .selectForPrompt(request, runners, List.of(), now)
        .map(selection -> selection.runner().id());
  }

  /** The first newer version counts, not the newest one. */
  @Test
  public void replacementStartsWithFirstNewerVersion() {
    announced.announce("m", 2, NOW);
    announced.announce("m", 3, NOW.plusMillis(1_500));
    assertEquals(announced.replacedAt("m", 1), Optional.of(NOW));
    assertEquals(announced.replacedAt("m", 2), Optional.of(NOW.plusMillis(1_500)));
    assertEquals(announced.replacedAt("m", 3), Optional.empty());
    assertEquals(announced.replacedAt("other", 1), Optional.empty());
  }

  /** A node that restarts during a rollout takes the earlier time that its peers report. */
  @Test
  public void earliestTimeOfAnnouncementCounts() {
    assertTrue(announced.announce("m", 2, NOW.plusSeconds(4)));
    assertFalse(announced.announce("m", 2, NOW));
    assertFalse(announced.announce("m", 2, NOW.plusSeconds(9)));
    assertEquals(announced.replacedAt("m", 1), Optional.of(NOW));
    assertEquals(
        announced.recent(Duration.ofSeconds(5), NOW.plusSeconds(5)),
        Map.of("m", Map.of(2L, Duration.ofSeconds(5))));
    assertEquals(announced.recent(Duration.ofSeconds(5), NOW.plusSeconds(6)), Map.of());
  }

  /**
   * Guards against one restart that shortens the limit for all nodes: a time that a node only
   * assumes is not reported, and gives way to a known one, which may be later.
   */
  @Test
  public void assumedTimeOfAnnouncementGivesWay() {
    AnnouncedWeights weights = new AnnouncedWeights();
    assertTrue(weights.assume("m", 2, NOW.minusSeconds(3)));
    assertEquals(weights.replacedAt("m", 1), Optional.of(NOW.minusSeconds(3)));
    assertEquals(weights.recent(Duration.ofSeconds(30), NOW), Map.of());
    assertFalse(weights.announce("m", 2, NOW));
    assertFalse(weights.assume("m", 2, NOW.minusSeconds(4)));
    assertEquals(weights.replacedAt("m", 1), Optional.of(NOW));
  }

  /** The limit counts from the last time at which the weights were known not to be announced. */
  @Test
  public void limitCountsFromTheLastReadWithoutTheAnnouncement() {
    var deadline = new WeightsDeadline(Duration.ofSeconds(6), Duration.ofSeconds(4));
    Instant before = NOW.minusMillis(900);
    assertEquals(deadline.countsFrom(Optional.of(before), NOW), before);
    assertEquals(
        deadline.countsFrom(Optional.of(NOW.minusSeconds(60)), NOW),
        NOW.minusSeconds(2),
        "after an outage");
    assertEquals(
        deadline.countsFrom(Optional.empty(), NOW), NOW.minusSeconds(2), "after a restart");
  }

  /**
   * Requests that would wait in the queue of a runner with replaced weights until after the limit
   * are not sent there: the estimated wait counts, not only the time of sending.
   */
  @Test
  public void longQueueEndsSendingEarlier() {
    Runner busy = runner("busy", 1);
    busy.requestSent(0, 85_200, 1_000, NOW);
    announced.announce("m", 2, NOW);
    assertEquals(select(List.of(busy), NOW.plusMillis(1_000)), Optional.of("busy"));
    assertEquals(select(List.of(busy), NOW.plusMillis(2_500)), Optional.empty());
    Runner idle = runner("idle", 1);
    assertEquals(select(List.of(busy, idle), NOW.plusMillis(2_500)), Optional.of("idle"));
    assertEquals(select(List.of(busy, idle), NOW.plusMillis(5_200)), Optional.empty());
  }

  /** Runners with the newest weights are never left out. */
  @Test
  public void newestWeightsHaveNoLimit() {
    announced.announce("m", 2, NOW);
    Runner current = runner("current", 2);
    current.requestSent(0, 852_000, 1_000, NOW);
    assertEquals(select(List.of(current), NOW.plusSeconds(60)), Optional.of("current"));
  }

  /** A request that has not begun is cancelled before the limit. */
  @Test
  public void cancelsBeforeTheLimit() {
    Instant last = NOW.plus(DEADLINE.limit()).minus(WeightsDeadline.CANCEL_MARGIN);
    assertFalse(DEADLINE.mustCancel(Optional.of(NOW), last.minusMillis(1)));
    assertTrue(DEADLINE.mustCancel(Optional.of(NOW), last));
    assertFalse(DEADLINE.mustCancel(Optional.empty(), last));
  }

  /**
   * A holder of the lease that was killed and started again is not active: the process that gave
   * the orders is gone, so nobody waits for it as for a live one.
   */
  @Test
  public void restartedHolderIsNotActive() {
    PeerTable peers = new PeerTable();
    peers.update(PeerReports.of("n", "z1", 2, 1), NOW);
    assertTrue(peers.isActive("n", 2, NOW));
    assertFalse(peers.isActive("n", 1, NOW));
  }
}
