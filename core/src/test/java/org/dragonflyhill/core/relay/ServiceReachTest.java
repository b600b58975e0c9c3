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

  /** Number of runners, and of runners that fail until the node counts as cut off. */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{1, 1}, {3, 3}, {6, 6}, {8, 6}, {3_300, 6}};
  }

  /** The node is cut off once connections to all runners, or to six in a row, have failed. */
  @Test(dataProvider = "sizes")
  public void isCutOffAfterSuccessiveFailures(int available, int needed) {
    ServiceReach reach = new ServiceReach();
    for (int i = 0; i < needed; i++) {
      assertFalse(reach.isCutOff());
      reach.recordFailed("r" + i, runners(available), NOW);
    }
    assertTrue(reach.isCutOff());
    assertTrue(reach.recordConnected());
    assertFalse(reach.isCutOff());
  }

  /** Some runners that are down leave the node in reach of the others. */
  @Test
  public void isNotCutOffWhileAnyRunnerIsReached() {
    ServiceReach reach = new ServiceReach();
    List<String> available = runners(8);
    for (int round = 0; round < 10; round++) {
      for (int down = 0; down < 5; down++) {
        reach.recordFailed("r" + down, available, NOW);
      }
      assertEquals(reach.toVerify(available, NOW), List.of("r5", "r6", "r7"));
      reach.recordConnected();
      assertEquals(reach.toVerify(available, NOW), List.of());
    }
    assertFalse(reach.isCutOff());
  }

  /** The same runner that fails again and again says nothing of the others. */
  @Test
  public void failuresOfOneRunnerCountOnce() {
    ServiceReach reach = new ServiceReach();
    for (int i = 0; i < 20; i++) {
      reach.recordFailed("r0", runners(3), NOW);
    }
    assertFalse(reach.isCutOff());
    assertEquals(reach.toVerify(runners(3), NOW), List.of());
  }

  /** Failures that are long past do not add up to a cut. */
  @Test
  public void oldFailuresAreForgotten() {
    ServiceReach reach = new ServiceReach();
    for (int i = 0; i < 3; i++) {
      reach.recordFailed("r" + i, runners(3), NOW.plus(Duration.ofSeconds(7L * i)));
    }
    assertFalse(reach.isCutOff());
  }
}
