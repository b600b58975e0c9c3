package org.dragonflyhill.daemon;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;

/** Tests of {@link StageTimers}. */
public final class StageTimersTest {

  private NodeMetrics metrics;
  private StageTimers timers;

  /** Creates timers and metrics without values. */
  @BeforeMethod
  public void start() {
    metrics = new NodeMetrics();
    timers = new StageTimers(metrics);
  }

  private static RequestContext request() {
    var headers =
        new RequestContext.Headers(
            Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
    return new RequestContext(
        "r",
        Instant.EPOCH,
        headers,
        new Call.OutcomeQuery("k"),
        Optional.empty(),
        Optional.empty());
  }

  @Test
  public void timesRequestThatFilterPassesOn() {
    RequestFilter filter = timers.timed("admit", (context, next) -> next.handle(context));
    filter.handle(request(), context -> Mono.just(new Reply.Json(200, "{}"))).block();
    assertEquals(metrics.timer("admit").getCount(), 1);
  }

  @Test
  public void doesNotTimeRequestThatFilterAnswers() {
    RequestFilter filter =
        timers.timed("admit", (context, next) -> Mono.just(new Reply.Json(200, "{}")));
    filter.handle(request(), context -> Mono.never()).block();
    assertEquals(metrics.timer("admit").getCount(), 0);
  }

  @Test
  public void timesReplyOfLastHandler() {
    timers
        .timed("dispatch", context -> Mono.just(new Reply.Json(200, "{}")))
        .handle(request())
        .block();
    assertEquals(metrics.timer("dispatch").getCount(), 1);
  }
}
