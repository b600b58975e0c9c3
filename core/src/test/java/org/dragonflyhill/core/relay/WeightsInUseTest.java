package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** When the KV cache of replaced weights can no longer be read. */
public final class WeightsInUseTest {

  private static final Instant START = Instant.ofEpochSecond(1_000);
  private static final Instant NOW = START.plus(WeightsInUse.MAX_UNLISTED_LIFETIME);

  private WeightsInUse inUse;
  private Runner first;
  private Runner second;

  /** Creates two runners that have had version 1 for a long time. */
  @BeforeMethod
  public void createRunners() {
    inUse = new WeightsInUse(START);
    first = runner("a");
    second = runner("b");
    inUse.observe(List.of(first, second), START);
    inUse.observe(List.of(first, second), NOW);
  }

  private static Runner runner(String id) {
    Endpoint endpoint = new Endpoint("10.0.0.1", 80);
    return new Runner(
        new RunnerInfo(id, "s", endpoint, "z", 8, false, Map.of("m", 1L), Optional.empty(), 1),
        START);
  }

  private Instant afterFetches(Instant from) {
    return from.plus(WeightsInUse.FETCH_DRAIN_TIME);
  }

  @Test
  public void versionIsReplacedOnceFetchesOfAllRunnersHaveEnded() {
    first.observeWeightVersion("m", 2);
    inUse.observe(List.of(first, second), NOW);
    assertFalse(inUse.isReplaced("m", 1, afterFetches(NOW)));
    second.observeWeightVersion("m", 2);
    inUse.observe(List.of(first, second), NOW);
    assertFalse(inUse.isReplaced("m", 1, afterFetches(NOW).minusMillis(1)));
    assertTrue(inUse.isReplaced("m", 1, afterFetches(NOW)));
    assertFalse(inUse.isReplaced("m", 2, afterFetches(NOW)));
    assertFalse(inUse.isReplaced("other", 1, afterFetches(NOW)));
  }

  /**
   * New weights may be named in quick succession, as in scenario quiet-1 of the Strunova
   * deployment. The stores stay full of parts of the first version unless these are freed while the
   * third version is still being rolled out.
   */
  @Test
  public void versionIsReplacedWhileNewerOnesAreRolledOut() {
    first.observeWeightVersion("m", 2);
    second.observeWeightVersion("m", 2);
    inUse.observe(List.of(first, second), NOW);
    second.observeWeightVersion("m", 3);
    inUse.observe(List.of(first, second), NOW.plusSeconds(1));
    assertTrue(inUse.isReplaced("m", 1, afterFetches(NOW)));
    assertFalse(inUse.isReplaced("m", 2, afterFetches(NOW).plusSeconds(5)));
  }

  @Test
  public void runnerThatIsNoLongerListedMayStillRead() {
    first.observeWeightVersion("m", 2);
    inUse.observe(List.of(first), NOW);
    assertFalse(inUse.isReplaced("m", 1, afterFetches(NOW).plusSeconds(10)));
    Instant gone = NOW.plus(WeightsInUse.MAX_UNLISTED_LIFETIME).plusMillis(1);
    inUse.observe(List.of(first), gone);
    assertTrue(inUse.isReplaced("m", 1, afterFetches(gone)));
  }

  /** A node that has just started does not know the runners that left the host list before. */
  @Test
  public void reportsNothingAsReplacedSoonAfterTheStart() {
    WeightsInUse restarted = new WeightsInUse(NOW);
    first.observeWeightVersion("m", 2);
    restarted.observe(List.of(first), NOW);
    Duration shortTime = Duration.ofSeconds(10);
    assertFalse(restarted.isReplaced("m", 1, NOW.plus(shortTime)));
    assertTrue(restarted.isReplaced("m", 1, NOW.plus(WeightsInUse.MAX_UNLISTED_LIFETIME)));
  }

  /** A runner that joins with old weights can read their KV cache again. */
  @Test
  public void runnerWithOldWeightsJoins() {
    first.observeWeightVersion("m", 2);
    second.observeWeightVersion("m", 2);
    inUse.observe(List.of(first, second), NOW);
    Instant later = afterFetches(NOW);
    inUse.observe(List.of(first, second, runner("c")), later);
    assertFalse(inUse.isReplaced("m", 1, later.plusSeconds(5)));
  }
}
