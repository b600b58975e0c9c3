package org.dragonflyhill.core;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests of {@link EndpointHealth}. */
public final class EndpointHealthTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final Instant AFTER_EJECTION = NOW.plus(EndpointHealth.EJECTION_TIME);

  private static EndpointHealth ejected() {
    EndpointHealth health = new EndpointHealth();
    for (int i = 0; i < EndpointHealth.EJECTION_FAILURES; i++) {
      health.failed("a", NOW);
    }
    return health;
  }

  @Test
  public void singleFailureDoesNotEject() {
    EndpointHealth health = new EndpointHealth();
    health.failed("a", NOW);
    assertTrue(health.isUsable("a", 5, NOW));
  }

  @Test
  public void repeatedFailuresEject() {
    assertFalse(ejected().isUsable("a", 0, NOW));
  }

  @Test
  public void oneProbeIsAllowedAfterEjection() {
    EndpointHealth health = ejected();
    assertTrue(health.isUsable("a", 0, AFTER_EJECTION));
    assertFalse(health.isUsable("a", 1, AFTER_EJECTION));
  }

  @Test
  public void allowedRequestsDoubleWithEachSuccess() {
    EndpointHealth health = ejected();
    health.succeeded("a");
    assertTrue(health.isUsable("a", 1, AFTER_EJECTION));
    assertFalse(health.isUsable("a", 2, AFTER_EJECTION));
    for (int i = 0; i < 3; i++) {
      health.succeeded("a");
    }
    assertTrue(health.isUsable("a", 1_000, AFTER_EJECTION));
  }

  @Test
  public void failedProbeEjectsForLonger() {
    EndpointHealth health = ejected();
    health.failed("a", AFTER_EJECTION);
    Instant until = AFTER_EJECTION.plus(EndpointHealth.EJECTION_TIME.multipliedBy(2));
    assertFalse(health.isUsable("a", 0, until.minusMillis(1)));
    assertTrue(health.isUsable("a", 0, until));
  }

  @Test
  public void lateFailuresOfTheSameFaultDoNotLengthenTheEjection() {
    EndpointHealth health = ejected();
    for (int i = 0; i < 20; i++) {
      health.failed("a", NOW.plusMillis(i));
    }
    assertTrue(health.isUsable("a", 0, AFTER_EJECTION));
  }

  @Test
  public void ownWordOfLeavingOutweighsHostListAndSuccess() {
    EndpointHealth health = new EndpointHealth();
    health.saidLeaving("a", NOW);
    health.leaving(Set.of());
    health.succeeded("a");
    assertFalse(health.isUsable("a", 0, NOW.plusSeconds(10)));
    assertTrue(health.isUsable("a", 0, NOW.plus(EndpointHealth.LEAVING_TIME)));
  }

  @Test
  public void hostListOutweighsOwnWord() {
    EndpointHealth health = new EndpointHealth();
    health.leaving(Set.of("a"));
    health.succeeded("a");
    assertFalse(health.isUsable("a", 0, NOW));
  }
}
