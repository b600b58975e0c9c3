package org.dragonflyhill.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.awaitility.Awaitility;
import org.dragonflyhill.core.Admission;
import org.dragonflyhill.core.ConfigurationObject.Organisation;
import org.dragonflyhill.core.ConfigurationObject.Urgency;
import org.dragonflyhill.core.Execution;
import org.dragonflyhill.core.RefusalReason;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Tests of {@link AdmissionFilter} with {@link AdmissionController}. */
public final class AdmissionFilterTest {

  private static final int SLOTS = 2;

  private final List<String> startedIds = new CopyOnWriteArrayList<>();
  private final List<Reply> replies = new CopyOnWriteArrayList<>();
  private volatile Mono<Reply> work;
  private DrainController drain;
  private AdmissionController admission;
  private AdmissionFilter filter;

  /** Creates a filter with an empty queue and no running requests. */
  @BeforeMethod
  public void start() {
    startedIds.clear();
    replies.clear();
    work = Mono.never();
    drain = new DrainController();
    admission =
        new AdmissionController(
            new Admission.Limits(3, 0),
            (pool, now) -> SLOTS,
            new NodeMetrics(),
            InstantSource.system());
    admission.start();
    filter = new AdmissionFilter(admission, drain, model -> true, () -> 1);
  }

  /** Stops the periodic check of the queue. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    admission.close();
  }

  private Disposable submit(String id, Urgency urgency, Duration deadline) {
    Instant now = Instant.now();
    var headers =
        new RequestContext.Headers(
            Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
    var classification =
        new RequestContext.Classification("t", urgency, true, 1, 1, now.plus(deadline));
    var context =
        new RequestContext(
            id,
            now,
            headers,
            new Call.Completion("m", "prompt", 3, true, false),
            Optional.of(new Organisation("org", List.of(), 1, 1_000_000)),
            Optional.of(classification));
    DrainController.RequestTracker tracker = drain.begin(id, now);
    return filter
        .handle(context, this::startWork)
        .doOnNext(replies::add)
        .flatMapMany(reply -> reply instanceof Reply.Stream s ? s.events() : Flux.empty())
        .doFinally(signal -> tracker.close())
        .subscribe();
  }

  private Disposable submit(String id) {
    return submit(id, Urgency.ORDINARY, Duration.ofSeconds(60));
  }

  private Mono<Reply> startWork(RequestContext context) {
    startedIds.add(context.requestId());
    return work;
  }

  private org.dragonflyhill.core.Refusal onlyRefusal() {
    Awaitility.await().until(() -> replies.size() == 1);
    return ((Reply.Problem) replies.getFirst()).refusal();
  }

  @Test
  public void admitsUpToSlotLimitAndUrgentFirst() {
    final Disposable first = submit("a");
    submit("b");
    submit("c");
    submit("d", Urgency.URGENT, Duration.ofSeconds(60));
    assertEquals(startedIds, List.of("a", "b"));
    first.dispose();
    Awaitility.await().until(() -> startedIds.equals(List.of("a", "b", "d")));
  }

  @Test
  public void disconnectRemovesWaitingRequestFromQueue() {
    submit("a");
    submit("b");
    Disposable waiting = submit("c");
    assertEquals(admission.waiting(), 1);
    waiting.dispose();
    assertEquals(admission.waiting(), 0);
    assertEquals(startedIds, List.of("a", "b"));
  }

  @Test
  public void waitingRequestIsRefusedWhenItsDeadlinePasses() {
    submit("a");
    submit("b");
    submit("c", Urgency.ORDINARY, Duration.ofMillis(200));
    assertEquals(onlyRefusal().reason(), RefusalReason.DEADLINE_PASSED);
    assertEquals(onlyRefusal().execution(), Execution.NO);
    assertEquals(admission.waiting(), 0);
  }

  @Test
  public void fullQueueRefusesImmediately() {
    for (String id : List.of("a", "b", "c", "d", "e", "f")) {
      submit(id);
    }
    assertEquals(onlyRefusal().reason(), RefusalReason.QUEUE_FULL);
    assertTrue(onlyRefusal().retryAfter().isPresent());
  }

  @Test
  public void slotIsReleasedHoweverRequestEnds() {
    work = Mono.error(new IllegalStateException("fault"));
    submit("error");
    work = Mono.just(new Reply.Json(200, "{}"));
    submit("answer");
    work = Mono.just(new Reply.Stream(Flux.just(new Reply.StreamEvent.Complete())));
    submit("stream");
    work = Mono.just(new Reply.Stream(Flux.never()));
    submit("disconnect").dispose();
    work = Mono.never();
    submit("cancel").dispose();
    assertEquals(admission.running(), 0);
    assertEquals(startedIds.size(), 5);
  }

  @Test
  public void stoppingNodeRefusesRequestsAsNotRun() {
    drain.refuseRequests();
    submit("a");
    assertEquals(onlyRefusal().reason(), RefusalReason.STOPPING);
    assertEquals(onlyRefusal().execution(), Execution.NO);
    assertTrue(onlyRefusal().retryAfter().isPresent());
    assertTrue(startedIds.isEmpty());
  }
}
