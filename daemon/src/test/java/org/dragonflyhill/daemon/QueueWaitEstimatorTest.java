package org.dragonflyhill.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.dragonflyhill.core.ConfigurationObject.AdministrativeState;
import org.dragonflyhill.core.ConfigurationObject.Model;
import org.dragonflyhill.core.ConfigurationObject.Runner;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link QueueWaitEstimator}. */
public final class QueueWaitEstimatorTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final Model MODEL = new Model("m", "v1", 8_000, 1);

  private QueueWaitEstimator estimator;

  /** Creates an estimator without any load reports. */
  @BeforeMethod
  public void start() {
    var endpoints = new EndpointController(List::of, List::of, null, () -> NOW);
    estimator = new QueueWaitEstimator(endpoints, () -> 1);
  }

  private static Runner runner(String name, int slots) {
    return new Runner(
        name, "zone", "127.0.0.1:10", "m", slots, 1, 1, true, AdministrativeState.ACTIVE);
  }

  @Test
  public void idleRunnerHasNoQueueWait() {
    assertEquals(estimator.queueWait(runner("a", 8), MODEL, false, NOW), Duration.ZERO);
  }

  @Test
  public void countsRequestsSentSinceLastReport() {
    estimator.recordSent(runner("a", 8), MODEL, 16_000, false, NOW);
    assertEquals(estimator.queueWait(runner("a", 8), MODEL, false, NOW), Duration.ofSeconds(2));
    assertEquals(estimator.queueWait(runner("b", 8), MODEL, false, NOW), Duration.ZERO);
  }

  @Test
  public void urgentWorkDoesNotWaitForOrdinaryPrefill() {
    estimator.recordSent(runner("a", 8), MODEL, 16_000, false, NOW);
    assertEquals(estimator.queueWait(runner("a", 8), MODEL, true, NOW), Duration.ZERO);
  }

  @Test
  public void changedCapacityResetsEstimate() {
    estimator.recordSent(runner("a", 8), MODEL, 16_000, false, NOW);
    assertTrue(estimator.queueWait(runner("a", 16), MODEL, false, NOW).isZero());
  }
}
