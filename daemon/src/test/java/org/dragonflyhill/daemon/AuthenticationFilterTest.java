package org.dragonflyhill.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.dragonflyhill.core.Execution;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;

/** Tests of {@link AuthenticationFilter} on a node that has not read its configuration yet. */
public final class AuthenticationFilterTest {

  private static final Instant NOW = Instant.parse("2026-01-01T12:00:00Z");
  private static final Call SERVICE_CALL = new Call.ServiceCall("dispatch", "send", "{}");

  private static Refusal refuse(Call call, Optional<String> idempotencyKey) {
    var context =
        new RequestContext(
            "request",
            NOW,
            new RequestContext.Headers(
                Optional.of("bearer"), idempotencyKey, Optional.empty(), Optional.empty()),
            call,
            Optional.empty(),
            Optional.empty());
    try (var configuration =
        new ConfigurationController(new FakeLog(), new NodeMetrics(), () -> NOW)) {
      Reply reply =
          new AuthenticationFilter(configuration)
              .handle(context, ignored -> Mono.error(new AssertionError("passed on")))
              .block(Duration.ofSeconds(20));
      Refusal refusal = ((Reply.Problem) reply).refusal();
      assertEquals(refusal.reason(), RefusalReason.NO_CONFIGURATION);
      return refusal;
    }
  }

  @Test
  public void requestWithKeyMayHaveBeenRunByAnotherNode() {
    assertEquals(refuse(SERVICE_CALL, Optional.of("k")).execution(), Execution.UNKNOWN);
  }

  @Test
  public void outcomeOfQueriedRequestIsUnknown() {
    Call query = new Call.OutcomeQuery("k");
    assertEquals(refuse(query, Optional.empty()).execution(), Execution.UNKNOWN);
  }

  @Test
  public void requestWithoutKeyWasNotRun() {
    assertEquals(refuse(SERVICE_CALL, Optional.empty()).execution(), Execution.NO);
  }

  @Test
  public void refusalsNameTimeOfRetry() {
    assertTrue(refuse(SERVICE_CALL, Optional.of("k")).retryAfter().isPresent());
    assertTrue(refuse(SERVICE_CALL, Optional.empty()).retryAfter().isPresent());
  }
}
