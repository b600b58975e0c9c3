package org.dragonflyhill.standins.replay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests of {@link Replay}. */
public final class ReplayTest {

  private static final TraceGenerator.Shape SHAPE =
      new TraceGenerator.Shape(Duration.ofSeconds(20), 1);

  private static Row replay(String policyName, Fault fault) {
    Deployment deployment = Deployment.STRUNOVA;
    Policy policy =
        Policy.all(deployment).stream()
            .filter(candidate -> candidate.name().equals(policyName))
            .findFirst()
            .orElseThrow();
    Trace trace = new TraceGenerator(deployment, SHAPE, new Random(3)).generate(0.5);
    var scenario = new Row.Scenario(deployment.name(), policyName, 0.5, fault.label());
    return new Replay(deployment, policy, trace, SHAPE, fault, new Random(3)).run(scenario);
  }

  @Test
  public void sameSeedGivesSameRow() {
    assertEquals(replay("product", Fault.ZONE_LOST), replay("product", Fault.ZONE_LOST));
  }

  @Test
  public void offlineBoundComputesNoPieceTwice() {
    assertEquals(replay("offline_bound", Fault.NONE).repeatedShare(), 0.0);
  }

  @Test
  public void productComputesLessThanHalfOfLeastLoaded() {
    double product = replay("product", Fault.NONE).computedShare();
    assertTrue(product < replay("least_loaded", Fault.NONE).computedShare() / 2);
  }

  @Test
  public void lostZoneLeavesEveryRequestAnsweredOrRefused() {
    Row row = replay("product", Fault.ZONE_LOST);
    int refused = row.refusals().values().stream().mapToInt(Integer::intValue).sum();
    assertEquals(row.answered() + refused, row.requests());
  }
}
