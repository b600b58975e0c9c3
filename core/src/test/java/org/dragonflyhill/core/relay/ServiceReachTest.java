package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests from when on a node counts as cut off from the runners of a service. */
public final class ServiceReachTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);

  private static List<String> runners(int count) {
    return IntStream.range(0, count).mapToObj(i -> "r" + i).toList();
  }

  private static void record(ServiceReach reach, int first, int end, boolean isConnected, int of) {
    for (int i = first; i < end; i++) {
      reach.record("r" + i, isConnected, runners(of), NOW);
    }
  }

  /** Number of runners, and of runners that fail until the node counts as cut off. */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{1, 1}, {2, 2}, {3, 2}, {6, 4}, {8, 5}, {3_300, 6}};
  }

  /** The node is cut off once connections to most runners have failed, or to six of many. */
  @Test(dataProvider = "sizes")
  public void isCutOffOnceMostRunnersFail(int available, int needed) {
    ServiceReach reach = new ServiceReach();
    record(reach, 0, needed - 1, false, available);
    assertFalse(reach.isCutOff());
    assertTrue(reach.record("r" + (needed - 1), false, runners(available), NOW));
    assertTrue(reach.isCutOff());
  }

  /** Some runners that are down leave the node in reach of the others. */
  @Test
  public void isNotCutOffWhileMostRunnersAreReached() {
    ServiceReach reach = new ServiceReach();
    record(reach, 0, 4, false, 8);
    assertEquals(reach.toVerify(runners(8), NOW), List.of("r4", "r5", "r6", "r7"));
    record(reach, 4, 8, true, 8);
    assertEquals(reach.toVerify(runners(8), NOW), List.of());
    record(reach, 0, 4, false, 8);
    assertFalse(reach.isCutOff());
  }

  /** A single runner that is reached does not end the cut from all the others, time after time. */
  @Test
  public void remainsCutOffWhileOneRunnerIsReached() {
    ServiceReach reach = new ServiceReach();
    record(reach, 0, 7, false, 8);
    for (int i = 0; i < 10; i++) {
      assertFalse(reach.record("r7", true, runners(8), NOW));
      assertFalse(reach.record("r" + i % 7, false, runners(8), NOW));
      assertTrue(reach.isCutOff());
    }
  }

  /** The cut ends once at least as many runners are reached as not. */
  @Test
  public void cutEndsOnceHalfOfTheRunnersAreReached() {
    ServiceReach reach = new ServiceReach();
    record(reach, 0, 8, false, 8);
    record(reach, 0, 3, true, 8);
    assertTrue(reach.isCutOff());
    assertTrue(reach.record("r3", true, runners(8), NOW));
    assertFalse(reach.isCutOff());
  }

  /** The same runner that fails again and again says nothing of the others. */
  @Test
  public void failuresOfOneRunnerCountOnce() {
    ServiceReach reach = new ServiceReach();
    for (int i = 0; i < 20; i++) {
      record(reach, 0, 1, false, 3);
    }
    assertFalse(reach.isCutOff());
    assertEquals(reach.toVerify(runners(3), NOW), List.of());
  }

  /** Failures that are long past do not add up to a cut. */
  @Test
  public void oldFailuresAreForgotten() {
    ServiceReach reach = new ServiceReach();
    for (int i = 0; i < 3; i++) {
      reach.record("r" + i, false, runners(3), NOW.plus(Duration.ofSeconds(7L * i)));
    }
    assertFalse(reach.isCutOff());
  }

  /** Runners that are not listed any more, or drain, do not count. */
  @Test
  public void onlyAvailableRunnersCount() {
    ServiceReach reach = new ServiceReach();
    record(reach, 0, 5, false, 8);
    assertTrue(reach.isCutOff());
    assertTrue(reach.record("r7", true, List.of("r6", "r7"), NOW));
    assertFalse(reach.isCutOff());
  }
}
