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
  public void runsCallbackOnceWhenTrackerIsClosedTwice() {
    AtomicInteger calls = new AtomicInteger();
    DrainController.RequestTracker tracker = drain.begin("called-back", NOW);
    drain.onEnd("called-back", calls::incrementAndGet);
    tracker.close();
    tracker.close();
    assertEquals(calls.get(), 1);
  }

  @Test
  public void runsCallbackImmediatelyAfterRequestEnded() {
    AtomicInteger calls = new AtomicInteger();
    drain.begin("ended", NOW).close();
    drain.onEnd("ended", calls::incrementAndGet);
    assertEquals(calls.get(), 1);
  }

  @Test
  public void reportsOldestRequestsFirst() {
    DrainController own = new DrainController();
    own.begin("young", NOW);
    own.begin("old", NOW.minusSeconds(5));
    assertEquals(own.oldestRequests(NOW).getFirst().requestId(), "old");
    assertEquals(own.oldestRequests(NOW).getFirst().ageMillis(), 5_000);
  }

  @Test
  public void refusedRequestsDoNotDelayStop() {
    DrainController own = new DrainController();
    final DrainController.RequestTracker acceptedRequest = own.begin("served", NOW);
    own.beginStop();
    own.refuseRequests();
    own.begin("refused", NOW);
    assertFalse(haveAcceptedRequestsEnded(own, Duration.ofMillis(200)));
    acceptedRequest.close();
    assertTrue(haveAcceptedRequestsEnded(own, TIMEOUT));
  }

  private static boolean haveAcceptedRequestsEnded(DrainController drain, Duration timeout) {
    return drain
        .whenAcceptedRequestsEnd()
        .thenReturn(true)
        .timeout(timeout, reactor.core.publisher.Mono.just(false))
        .block();
  }
}
