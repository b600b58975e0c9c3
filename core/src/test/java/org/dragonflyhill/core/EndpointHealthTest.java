package org.dragonflyhill.core;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests of {@link EndpointHealth}. */
public final class EndpointHealthTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final Instant AFTER_EJECTION = NOW.plus(EndpointHealth.BASE_EJECTION_TIME);

  private static EndpointHealth ejectedEndpoint() {
    EndpointHealth health = new EndpointHealth();
    for (int i = 0; i < EndpointHealth.EJECTION_THRESHOLD; i++) {
      health.recordFailure("a", NOW);
    }
    return health;
  }

  @Test
  public void singleFailureDoesNotEject() {
    EndpointHealth health = new EndpointHealth();
    health.recordFailure("a", NOW);
    assertTrue(health.isUsable("a", 5, NOW));
  }

  @Test
  public void repeatedFailuresEject() {
    assertFalse(ejectedEndpoint().isUsable("a", 0, NOW));
  }

  @Test
  public void oneProbeIsAllowedAfterEjection() {
    EndpointHealth health = ejectedEndpoint();
    assertTrue(health.isUsable("a", 0, AFTER_EJECTION));
    assertFalse(health.isUsable("a", 1, AFTER_EJECTION));
  }

  @Test
  public void concurrencyLimitDoublesWithEachSuccess() {
    EndpointHealth health = ejectedEndpoint();
    health.recordSuccess("a");
    assertTrue(health.isUsable("a", 1, AFTER_EJECTION));
    assertFalse(health.isUsable("a", 2, AFTER_EJECTION));
    for (int i = 0; i < 3; i++) {
      health.recordSuccess("a");
    }
    assertTrue(health.isUsable("a", 1_000, AFTER_EJECTION));
  }

  @Test
  public void failedProbeEjectsForLonger() {
    EndpointHealth health = ejectedEndpoint();
    health.recordFailure("a", AFTER_EJECTION);
    Instant until = AFTER_EJECTION.plus(EndpointHealth.BASE_EJECTION_TIME.multipliedBy(2));
    assertFalse(health.isUsable("a", 0, until.minusMillis(1)));
    assertTrue(health.isUsable("a", 0, until));
  }

  @Test
  public void failuresDuringEjectionDoNotExtendIt() {
    EndpointHealth health = ejectedEndpoint();
    for (int i = 0; i < 20; i++) {
      health.recordFailure("a", NOW.plusMillis(i));
    }
    assertTrue(health.isUsable("a", 0, AFTER_EJECTION));
  }

  @Test
  public void leavingReportOverridesHostListAndSuccess() {
    EndpointHealth health = new EndpointHealth();
    health.recordLeavingReport("a", NOW);
    health.setLeaving(Set.of());
    health.recordSuccess("a");
    assertFalse(health.isUsable("a", 0, NOW.plusSeconds(10)));
    assertTrue(health.isUsable("a", 0, NOW.plus(EndpointHealth.LEAVING_REPORT_TTL)));
  }

  @Test
  public void hostListOverridesSuccess() {
    EndpointHealth health = new EndpointHealth();
    health.setLeaving(Set.of("a"));
    health.recordSuccess("a");
    assertFalse(health.isUsable("a", 0, NOW));
  }
}
