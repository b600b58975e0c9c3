package org.dragonflyhill.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.dragonflyhill.core.ConfigurationObject.Model;
import org.dragonflyhill.core.ConfigurationObject.Organisation;
import org.dragonflyhill.core.ConfigurationObject.Urgency;
import org.dragonflyhill.core.Execution;
import org.dragonflyhill.core.HedgeDelay;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.core.RetryBudget;
import org.dragonflyhill.ports.PlatformError;
import org.dragonflyhill.ports.RunnerPort.CompletionRequest;
import org.dragonflyhill.ports.RunnerPort.Event;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Tests of {@link CompletionRun}. */
public final class CompletionRunTest {

  private static final Event LOST = new Event.Failed(new PlatformError.Lost("reset"));
  private static final Event NOT_SENT = new Event.Failed(new PlatformError.NotSent("refused"));

  private FakeRunners runners;
  private NodeMetrics metrics;
  private RetryBudget budget;
  private EndpointController endpoints;

  /** Creates new dependencies for each test. */
  @BeforeMethod
  public void reset() {
    runners = new FakeRunners();
    metrics = new NodeMetrics();
    budget = new RetryBudget();
    endpoints = new EndpointController(List::of, List::of, runners, InstantSource.system());
  }

  private static Event chunk(int offset) {
    return new Event.Chunk("r", offset, 1, "t" + offset + " ", "v1");
  }

  private static Event end(int total) {
    return new Event.End("r", total, 10, 0, 0, "length");
  }

  private static Flux<Event> answer(CompletionRequest request) {
    int from = request.resumeOffset();
    return Flux.range(from, 3 - from).map(CompletionRunTest::chunk).concatWith(Flux.just(end(3)));
  }

  private List<AnswerEvent> run(boolean isRepeatable, Urgency urgency, Duration deadline) {
    return events(isRepeatable, urgency, deadline).collectList().block(Duration.ofSeconds(30));
  }

  private List<AnswerEvent> run() {
    return run(true, Urgency.ORDINARY, Duration.ofSeconds(30));
  }

  private Flux<AnswerEvent> events(boolean isRepeatable, Urgency urgency, Duration deadline) {
    var services =
        new CompletionDependencies(
            endpoints,
            runners,
            runners,
            budget,
            new HedgeDelay(),
            metrics,
            new DecisionJournal(),
            new Random(1),
            InstantSource.system());
    Instant now = Instant.now();
    var context =
        new RequestContext(
            "r",
            now,
            new RequestContext.Headers(
                Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty()),
            FakeRunners.CALL,
            Optional.of(new Organisation("org", List.of(), 1, 1_000)),
            Optional.of(
                new RequestContext.Classification(
                    "task", urgency, isRepeatable, 1, 1, now.plus(deadline))));
    var model = new Model("m", "v1", 1_000, 1);
    return new CompletionRun(services, context, FakeRunners.CALL, model).events();
  }

  private static String text(List<AnswerEvent> events) {
    StringBuilder text = new StringBuilder();
    events.forEach(event -> text.append(event instanceof AnswerEvent.Text t ? t.text() : ""));
    return text.toString();
  }

  private static void assertComplete(List<AnswerEvent> events) {
    assertEquals(text(events), "t0 t1 t2 ");
    assertTrue(events.getLast() instanceof AnswerEvent.Complete, events.toString());
  }

  private static Refusal refusal(List<AnswerEvent> events) {
    return ((AnswerEvent.Failed) events.getLast()).refusal();
  }

  @Test
  public void resumesLostStreamElsewhereFromOffset() {
    runners.on("a", request -> Flux.just(chunk(0), chunk(1), LOST));
    runners.on("b", CompletionRunTest::answer);
    assertComplete(run());
    assertEquals(runners.calls, List.of("a@0", "b@2"));
    assertEquals(metrics.counterValue("retried.lost"), 1);
  }

  @Test
  public void resumesOnSameRunnerIfItIsTheOnlyOne() {
    AtomicInteger calls = new AtomicInteger();
    runners.on(
        "a", request -> calls.getAndIncrement() == 0 ? Flux.just(chunk(0), LOST) : answer(request));
    assertComplete(run());
    assertEquals(runners.calls, List.of("a@0", "a@1"));
  }

  @Test
  public void neverRelaysChunkOfAnotherRequest() {
    Event other = new Event.Chunk("other", 1, 1, "secret", "v1");
    runners.on("a", request -> Flux.just(chunk(0), other, chunk(1), chunk(2), end(3)));
    runners.on("b", CompletionRunTest::answer);
    assertComplete(run());
    assertEquals(metrics.counterValue("retried.crossed"), 1);
  }

  @Test
  public void discardsAnswerOfAnotherWeightVersion() {
    Event other = new Event.Chunk("r", 0, 1, "old", "v0");
    runners.on("a", request -> Flux.just(other, end(1)));
    List<AnswerEvent> events = run();
    assertEquals(text(events), "");
    assertEquals(refusal(events).reason(), RefusalReason.WRONG_WEIGHT_VERSION);
    assertEquals(runners.calls, List.of("a@0"));
  }

  @Test
  public void retriesWhenEndCountsMoreTokensThanReceived() {
    runners.on("a", request -> Flux.just(chunk(0), end(3)));
    runners.on("b", CompletionRunTest::answer);
    assertComplete(run());
    assertEquals(metrics.counterValue("retried.gap"), 1);
  }

  @Test
  public void failsWithErrorAfterMaximumAttempts() {
    runners.on("a", request -> Flux.just(LOST));
    runners.on("b", request -> Flux.just(LOST));
    assertEquals(refusal(run()).reason(), RefusalReason.ENDPOINT_FAILED);
    assertEquals(runners.calls.size(), CompletionRun.MAX_ATTEMPTS);
  }

  @Test
  public void neverRetriesNonRepeatableRequestThatMayHaveRun() {
    runners.on("a", request -> Flux.just(LOST));
    runners.on("b", CompletionRunTest::answer);
    List<AnswerEvent> events = run(false, Urgency.URGENT, Duration.ofSeconds(30));
    assertEquals(refusal(events).execution(), Execution.UNKNOWN);
    assertEquals(runners.calls, List.of("a@0"));
  }

  @Test
  public void retriesNonRepeatableRequestThatWasNotSent() {
    runners.on("a", request -> Flux.just(NOT_SENT));
    runners.on("b", CompletionRunTest::answer);
    assertComplete(run(false, Urgency.ORDINARY, Duration.ofSeconds(30)));
  }

  @Test
  public void refusesAsNotRunWithRetryAfterWhenNoRunnerAccepted() {
    runners.on("a", request -> Flux.just(NOT_SENT));
    Refusal refusal = refusal(run());
    assertEquals(refusal.execution(), Execution.NO);
    assertTrue(refusal.retryAfter().isPresent());
  }

  @Test
  public void doesNotRetryWhenBudgetIsSpent() {
    while (budget.tryTake()) {
      assertTrue(budget.available() >= 0);
    }
    runners.on("a", request -> Flux.just(LOST));
    assertEquals(refusal(run()).reason(), RefusalReason.ENDPOINT_FAILED);
    assertEquals(runners.calls, List.of("a@0"));
    assertEquals(metrics.counterValue("retries.over_budget"), 1);
  }

  @Test
  public void deadlineEndsRunAndCancelsRunner() {
    runners.on("a", request -> Flux.just(chunk(0)).concatWith(Flux.never()));
    List<AnswerEvent> events = run(true, Urgency.ORDINARY, Duration.ofMillis(200));
    assertEquals(refusal(events).reason(), RefusalReason.DEADLINE_PASSED);
    assertEquals(runners.cancelled, List.of("a"));
    assertEquals(endpoints.inFlight("a"), 0);
  }

  @Test
  public void cancellingCancelsRunner() {
    runners.on("a", request -> Flux.just(chunk(0)).concatWith(Flux.never()));
    events(true, Urgency.ORDINARY, Duration.ofSeconds(30)).blockFirst();
    assertEquals(runners.cancelled, List.of("a"));
    assertEquals(endpoints.inFlight("a"), 0);
  }

  @Test
  public void resumesStalledStream() {
    runners.on("a", request -> Flux.just(chunk(0)).concatWith(Flux.never()));
    runners.on("b", CompletionRunTest::answer);
    assertComplete(run());
    assertEquals(metrics.counterValue("retried.stalled"), 1);
  }

  @Test
  public void slowReaderDoesNotCountAsStall() throws InterruptedException {
    runners.on("a", CompletionRunTest::answer);
    List<AnswerEvent> read = new CopyOnWriteArrayList<>();
    var reader =
        new reactor.core.publisher.BaseSubscriber<AnswerEvent>() {
          @Override
          protected void hookOnSubscribe(org.reactivestreams.Subscription subscription) {
            request(1);
          }

          @Override
          protected void hookOnNext(AnswerEvent event) {
            read.add(event);
          }
        };
    events(true, Urgency.ORDINARY, Duration.ofSeconds(30)).subscribe(reader);
    Thread.sleep(CompletionRun.STALL_TIMEOUT.plusSeconds(3).toMillis());
    reader.requestUnbounded();
    org.awaitility.Awaitility.await().until(reader::isDisposed);
    assertComplete(read);
    assertEquals(runners.calls, List.of("a@0"));
  }

  @Test
  public void hedgesUrgentRepeatableRequestAndCancelsSlowerCopy() {
    runners.on("a", request -> Flux.never());
    runners.on("b", CompletionRunTest::answer);
    assertComplete(run(true, Urgency.URGENT, Duration.ofSeconds(30)));
    assertEquals(metrics.counterValue("retried.hedge"), 1);
    assertEquals(metrics.counterValue("hedge.won"), 1);
    assertEquals(runners.cancelled, List.of("a"));
  }

  @Test
  public void failedHedgeLeavesFirstCopyRunning() {
    runners.on("a", request -> answer(request).delaySubscription(Duration.ofMillis(400)));
    runners.on("b", request -> Flux.just(LOST));
    assertComplete(run(true, Urgency.URGENT, Duration.ofSeconds(30)));
    assertEquals(metrics.counterValue("hedge.won"), 0);
  }

  @Test
  public void neverHedgesOrdinaryRequest() {
    runners.on("a", request -> answer(request).delaySubscription(Duration.ofMillis(300)));
    runners.on("b", CompletionRunTest::answer);
    assertComplete(run());
    assertEquals(runners.calls, List.of("a@0"));
  }

  @Test
  public void runnerThatReportsLeavingGetsNoNewRequests() {
    runners.on("a", request -> Flux.just(FakeRunners.LEAVING));
    runners.on("b", CompletionRunTest::answer);
    assertComplete(run());
    boolean isUsable =
        endpoints.isUsable(
            "a",
            org.dragonflyhill.core.ConfigurationObject.AdministrativeState.ACTIVE,
            Instant.now());
    assertFalse(isUsable);
  }

  /** Runners that respond as the test specifies; placement picks them in the order of names. */
  private static final class FakeRunners implements org.dragonflyhill.ports.RunnerPort, Placer {

    static final Call.Completion CALL = new Call.Completion("m", "prompt", 3, true, false);
    static final Event LEAVING = new Event.Failed(new PlatformError.Refused(503, "leaving"));

    final List<String> calls = new CopyOnWriteArrayList<>();
    final List<String> cancelled = new CopyOnWriteArrayList<>();
    private final java.util.Map<String, Function<CompletionRequest, Flux<Event>>> answers =
        new java.util.TreeMap<>();

    void on(String runner, Function<CompletionRequest, Flux<Event>> answer) {
      answers.put(runner, answer);
    }

    @Override
    public Flux<Event> complete(String address, CompletionRequest request) {
      return Flux.defer(
          () -> {
            calls.add(address + "@" + request.resumeOffset());
            return answers.get(address).apply(request).doOnCancel(() -> cancelled.add(address));
          });
    }

    @Override
    public Mono<io.vavr.control.Either<PlatformError, Load>> load(String address) {
      return Mono.never();
    }

    @Override
    public boolean isLeaving(PlatformError error) {
      return error.detail().equals("leaving");
    }

    @Override
    public Optional<PlacementController.PlacedAttempt> place(
        RequestContext context,
        Model model,
        Call.Completion call,
        java.util.Set<String> excluded,
        Instant now) {
      List<String> names = new ArrayList<>(answers.keySet());
      names.removeAll(excluded);
      return names.stream().findFirst().map(FakeRunners::placedAttempt);
    }

    @Override
    public void recordServed(
        PlacementController.PlacedAttempt attempt, long importedTokens, Instant now) {}

    private static PlacementController.PlacedAttempt placedAttempt(String name) {
      var runner =
          new org.dragonflyhill.core.ConfigurationObject.Runner(
              name,
              "zone",
              name,
              "m",
              8,
              1_000,
              1_000,
              true,
              org.dragonflyhill.core.ConfigurationObject.AdministrativeState.ACTIVE);
      var choice = new org.dragonflyhill.core.Placement.Choice(name, 0, 0, 0.01, 0.01);
      var model = new org.dragonflyhill.core.ConfigurationObject.Model("m", "v1", 1, 1);
      var exportable = new ExportController.CachedPieces(runner, model, "", "", List.of());
      return new PlacementController.PlacedAttempt(
          runner, List.of(), List.of(), choice, List.of(), exportable, Instant.EPOCH);
    }
  }
}
