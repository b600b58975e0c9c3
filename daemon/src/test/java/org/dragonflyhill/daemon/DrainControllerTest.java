package org.dragonflyhill.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Tests of {@link DrainController}. */
public final class DrainControllerTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final DrainController drain = new DrainController();

  @Test
  public void callsBackOnceHoweverOftenTheEndIsNoted() {
    AtomicInteger calls = new AtomicInteger();
    DrainController.RequestTracker running = drain.begin("called-back", NOW);
    drain.onEnd("called-back", calls::incrementAndGet);
    running.close();
    running.close();
    assertEquals(calls.get(), 1);
  }

  @Test
  public void callsBackAtOnceAfterTheEnd() {
    AtomicInteger calls = new AtomicInteger();
    drain.begin("ended", NOW).close();
    drain.onEnd("ended", calls::incrementAndGet);
    assertEquals(calls.get(), 1);
  }

  @Test
  public void tellsOldestRequestsFirst() {
    DrainController own = new DrainController();
    own.begin("young", NOW);
    own.begin("old", NOW.minusSeconds(5));
    assertEquals(own.oldestRequests(NOW).getFirst().requestId(), "old");
    assertEquals(own.oldestRequests(NOW).getFirst().ageMillis(), 5_000);
  }

  @Test
  public void refusedRequestsDoNotHoldUpTheStop() {
    DrainController own = new DrainController();
    final DrainController.RequestTracker served = own.begin("served", NOW);
    own.beginStop();
    own.refuseRequests();
    own.begin("refused", NOW);
    assertFalse(isServed(own, Duration.ofMillis(200)));
    served.close();
    assertTrue(isServed(own, TIMEOUT));
  }

  private static boolean isServed(DrainController drain, Duration time) {
    return drain
        .whenAcceptedRequestsEnd()
        .thenReturn(true)
        .timeout(time, reactor.core.publisher.Mono.just(false))
        .block();
  }
}
