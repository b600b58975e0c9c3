package org.dragonflyhill.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.dragonflyhill.core.ClaimWindow;
import org.dragonflyhill.core.ConfigurationObject.Organisation;
import org.dragonflyhill.core.ConfigurationObject.Urgency;
import org.dragonflyhill.core.Execution;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;

/** Tests of {@link ClaimFilter}. */
public final class ClaimFilterTest {

  private static final Instant NOW = Instant.parse("2026-01-01T12:00:00Z");
  private static final Call CALL = new Call.ServiceCall("dispatch", "send", "{\"shed\":4}");
  private static final Reply DONE = new Reply.Json(200, "{}");
  private static final Organisation ORGANISATION = new Organisation("granja", List.of(), 1, 1_000);

  private final AtomicInteger runs = new AtomicInteger();
  private FakeLog log;
  private ClaimController claims;
  private ClaimFilter filter;

  /** Creates a filter on a node that has read its empty log to the end. */
  @BeforeMethod
  public void create() {
    runs.set(0);
    log = new FakeLog();
    createWithoutReading();
    claims.start();
    Awaitility.await().until(() -> claims.notReadyRefusal(NOW).isEmpty());
  }

  private void createWithoutReading() {
    claims =
        new ClaimController(
            log,
            "node-a",
            ClaimWindow.DEFAULT,
            ClaimLimits.DEFAULT,
            ClaimStepFault.NONE,
            new NodeMetrics(),
            () -> NOW);
    var runner = new ClaimRunner(claims, ClaimStepFault.NONE, new DrainController(), () -> NOW);
    filter = new ClaimFilter(claims, runner, () -> NOW);
  }

  /** Stops the controller's background reads. */
  @AfterMethod(alwaysRun = true)
  public void close() {
    claims.close();
  }

  private Reply handle(Optional<String> key, Call call, Duration left, Mono<Reply> answer) {
    var context =
        new RequestContext(
            "request",
            NOW,
            new RequestContext.Headers(Optional.empty(), key, Optional.empty(), Optional.empty()),
            call,
            Optional.of(ORGANISATION),
            Optional.of(
                new RequestContext.Classification(
                    "order", Urgency.ORDINARY, false, 1, 1, NOW.plus(left))));
    return filter
        .handle(context, ignored -> answer.doOnSubscribe(started -> runs.incrementAndGet()))
        .block(Duration.ofSeconds(20));
  }

  private Reply handle(Call call) {
    return handle(Optional.of("k"), call, Duration.ofSeconds(60), Mono.just(DONE));
  }

  private static Refusal refusal(Reply reply) {
    return ((Reply.Problem) reply).refusal();
  }

  @Test
  public void duplicateGetsAnswerOfFirstRequest() {
    assertEquals(handle(CALL), DONE);
    assertEquals(handle(CALL), DONE);
    assertEquals(runs.get(), 1);
  }

  @Test
  public void refusesRequestWithoutKey() {
    Reply reply = handle(Optional.empty(), CALL, Duration.ofSeconds(60), Mono.just(DONE));
    assertEquals(refusal(reply).reason(), RefusalReason.KEY_MISSING);
  }

  @Test
  public void refusesKeyReusedForAnotherRequest() {
    handle(CALL);
    Reply reply = handle(new Call.ServiceCall("dispatch", "send", "{\"shed\":5}"));
    assertEquals(refusal(reply).reason(), RefusalReason.KEY_REUSED);
    assertEquals(runs.get(), 1);
  }

  @Test
  public void runsNonRepeatableCompletionOnce() {
    Call completion = new Call.Completion("m1", "prompt", 8, false, false);
    handle(completion);
    assertEquals(handle(completion), DONE);
    assertEquals(runs.get(), 1);
  }

  @Test
  public void refusesStreamedNonRepeatableCompletion() {
    Reply reply = handle(new Call.Completion("m1", "prompt", 8, true, false));
    assertEquals(refusal(reply).reason(), RefusalReason.BAD_REQUEST);
    assertEquals(runs.get(), 0);
  }

  @Test
  public void runContinuesAfterCallerDeadline() {
    Mono<Reply> slow = Mono.just(DONE).delayElement(Duration.ofMillis(600));
    Reply reply = handle(Optional.of("k"), CALL, Duration.ofMillis(400), slow);
    assertEquals(refusal(reply).execution(), Execution.UNKNOWN);
    Awaitility.await().until(() -> log.records().getLast().contains("settled"));
  }

  @Test
  public void answerTooLargeToKeepIsReportedAsRun() {
    Reply large = new Reply.Json(200, "x".repeat(ClaimRunner.MAX_KEPT_ANSWER_BYTES + 1));
    handle(Optional.of("k"), CALL, Duration.ofSeconds(60), Mono.just(large));
    Reply duplicate = handle(CALL);
    assertEquals(refusal(duplicate).reason(), RefusalReason.ANSWER_NOT_KEPT);
    assertEquals(refusal(duplicate).execution(), Execution.YES);
  }

  @Test
  public void refusalBeforeDispatchReleasesClaim() {
    Reply notRun = new Reply.Problem(Refusal.notRun(RefusalReason.NO_ENDPOINT, "none"));
    handle(Optional.of("k"), CALL, Duration.ofSeconds(60), Mono.just(notRun));
    Awaitility.await().until(() -> log.records().getLast().contains("released"));
    Awaitility.await().until(() -> claims.entries().isEmpty());
    assertEquals(handle(CALL), DONE);
  }

  @Test
  public void failureWithUnknownOutcomeIsNotRunAgain() {
    Reply unknownOutcome =
        new Reply.Problem(Refusal.unknown(RefusalReason.ENDPOINT_FAILED, "lost"));
    handle(Optional.of("k"), CALL, Duration.ofSeconds(60), Mono.just(unknownOutcome));
    assertEquals(refusal(handle(CALL)).reason(), RefusalReason.OUTCOME_UNKNOWN);
    assertEquals(runs.get(), 1);
    assertTrue(claims.entriesWithoutOutcome().size() == 1);
  }

  @Test
  public void copyOfExecutedRequestIsNotReportedAsNotRunBeforeClaimsAreRead() {
    assertEquals(handle(CALL), DONE);
    claims.close();
    createWithoutReading();
    Refusal refusal = refusal(handle(CALL));
    assertEquals(refusal.reason(), RefusalReason.CLAIMS_NOT_READ);
    assertEquals(refusal.execution(), Execution.UNKNOWN);
    assertTrue(refusal.retryAfter().isPresent());
    assertEquals(runs.get(), 1);
  }
}
