package org.dragonflyhill.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.awaitility.Awaitility;
import org.dragonflyhill.core.ClaimEvent;
import org.dragonflyhill.core.ClaimEvent.RequestKey;
import org.dragonflyhill.core.ClaimWindow;
import org.dragonflyhill.core.Execution;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.ports.ClaimRecord;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;

/** Tests of {@link ClaimController}. */
public final class ClaimControllerTest {

  private static final Instant NOW = Instant.parse("2026-01-01T12:00:00Z");
  private static final RequestKey KEY = new RequestKey("org", "k");
  private static final ClaimLimits LIMITS =
      new ClaimLimits(
          Duration.ofMillis(300),
          Duration.ofMillis(100),
          Duration.ofSeconds(5),
          Duration.ofSeconds(40),
          Duration.ofMinutes(2));

  private FakeLog log;
  private ClaimController claims;

  /** Creates a controller with an empty log. */
  @BeforeMethod
  public void create() {
    log = new FakeLog();
    claims = controller();
  }

  /** Stops the controller's background reads. */
  @AfterMethod(alwaysRun = true)
  public void close() {
    claims.close();
  }

  private ClaimController controller() {
    return new ClaimController(
        log,
        "node-a",
        ClaimWindow.DEFAULT,
        LIMITS,
        ClaimStepFault.NONE,
        new NodeMetrics(),
        () -> NOW);
  }

  private void startAndRead() {
    claims.start();
    Awaitility.await().until(() -> claims.notReadyRefusal(NOW).isEmpty());
  }

  private Either<Refusal, ClaimController.Claim> claim(RequestKey key) {
    return claims.claim(key, "digest", NOW.plusSeconds(60), NOW).block(Duration.ofSeconds(10));
  }

  private void assertNotRun(Either<Refusal, ClaimController.Claim> claimed, RefusalReason reason) {
    assertEquals(claimed.getLeft().reason(), reason);
    assertEquals(claimed.getLeft().execution(), Execution.NO);
    assertTrue(claimed.getLeft().retryAfter().isPresent());
  }

  @Test
  public void winsFirstClaim() {
    startAndRead();
    assertTrue(claim(KEY).get().isWon());
  }

  @Test
  public void losesToClaimOfAnotherNode() {
    startAndRead();
    log.add(record(KEY, "other", NOW));
    assertFalse(claim(KEY).get().isWon());
  }

  @Test
  public void refusesUntilWindowIsRead() {
    assertNotRun(claim(KEY), RefusalReason.CLAIMS_NOT_READ);
  }

  @Test
  public void winsWhenAppendAnswerIsLost() {
    startAndRead();
    log.setAppendMode(FakeLog.AppendMode.ANSWER_LOST);
    assertTrue(claim(KEY).get().isWon());
  }

  @Test
  public void refusesWhileLogRefuses() {
    startAndRead();
    log.setAppendMode(FakeLog.AppendMode.REFUSED);
    assertNotRun(claim(KEY), RefusalReason.LOG_UNAVAILABLE);
  }

  @Test
  public void refusesWhenAppendTimesOut() {
    startAndRead();
    log.setAppendMode(FakeLog.AppendMode.HANGS);
    assertNotRun(claim(KEY), RefusalReason.LOG_UNAVAILABLE);
  }

  @Test
  public void releasesGivenUpClaimFoundInLog() {
    startAndRead();
    log.setAppendMode(FakeLog.AppendMode.ANSWER_LOST);
    log.setReadable(false);
    assertNotRun(claim(KEY), RefusalReason.LOG_UNAVAILABLE);
    log.setAppendMode(FakeLog.AppendMode.SUCCEEDS);
    log.setReadable(true);
    Awaitility.await().until(() -> log.records().getLast().contains("released"));
    Awaitility.await().until(() -> claims.entry(KEY).isEmpty());
    assertTrue(claim(KEY).get().isWon());
  }

  @Test
  public void oldClaimMayNotBeDispatched() {
    startAndRead();
    ClaimController.Claim claim = claim(KEY).get();
    Instant late = NOW.plus(LIMITS.maxDispatchAge()).plusMillis(1);
    assertTrue(claims.mayDispatch(claim, NOW, claim.startNanos()));
    assertFalse(claims.mayDispatch(claim, late, claim.startNanos()));
  }

  @Test
  public void clockSetBackDoesNotExtendDispatchTime() {
    startAndRead();
    ClaimController.Claim claim = claim(KEY).get();
    long late = claim.startNanos() + LIMITS.maxDispatchAge().toNanos() + 1;
    assertFalse(claims.mayDispatch(claim, NOW.minusSeconds(60), late));
  }

  @Test
  public void resolvedClaimMayNotBeDispatched() {
    startAndRead();
    ClaimController.Claim claim = claim(KEY).get();
    var resolved = new ClaimEvent.Resolved(KEY, claim.entry().claimId(), false, "ana");
    log.add(ClaimRecord.of(resolved).text());
    Awaitility.await().until(() -> claims.entry(KEY).isEmpty());
    assertFalse(claims.mayDispatch(claim, NOW, claim.startNanos()));
  }

  @Test
  public void appendsOutcomeOnceLogRecovers() {
    startAndRead();
    ClaimController.Claim claim = claim(KEY).get();
    log.setAppendMode(FakeLog.AppendMode.REQUEST_LOST);
    claims
        .settle(
            new ClaimEvent.Settled(
                KEY, claim.entry().claimId(), 200, Optional.of("done"), "digest"))
        .subscribe();
    assertTrue(claims.entry(KEY).orElseThrow().outcome().isPresent());
    log.setAppendMode(FakeLog.AppendMode.SUCCEEDS);
    Awaitility.await().until(() -> log.records().getLast().contains("settled"));
  }

  @Test
  public void refusesIfLogExpiredClaimsInsideWindow() {
    log.add("expired");
    log.add(record(new RequestKey("org", "recent"), "x", NOW.minus(Duration.ofHours(6))));
    log.expireBefore(1);
    claims.start();
    Awaitility.await().until(() -> claims.entry(new RequestKey("org", "recent")).isPresent());
    assertNotRun(claim(KEY), RefusalReason.CLAIMS_NOT_READ);
  }

  @Test
  public void claimsIfLogCoversWholeWindow() {
    log.add("expired");
    log.add(record(new RequestKey("org", "old"), "x", NOW.minus(Duration.ofHours(7))));
    log.expireBefore(1);
    startAndRead();
    assertTrue(claim(KEY).get().isWon());
  }

  @Test
  public void stopsClaimingAfterRecordOfNewerSchema() {
    startAndRead();
    log.add("{\"schema\":2,\"event\":{\"type\":\"moved\"}}");
    Awaitility.await().until(() -> claims.notReadyRefusal(NOW).isPresent());
    assertNotRun(claim(KEY), RefusalReason.CLAIMS_NOT_READ);
  }

  @Test
  public void groupsOutcomesIntoFewAppends() {
    startAndRead();
    for (int i = 0; i < 200; i++) {
      claims.settle(
          new ClaimEvent.Settled(
              new RequestKey("org", "k" + i), "c" + i, 200, Optional.empty(), ""));
    }
    Awaitility.await().until(() -> log.records().size() == 200);
    assertTrue(log.appends() < 10, log.appends() + " appends");
  }

  @Test
  public void operatorCannotResolveAsNotExecutedTooEarly() {
    startAndRead();
    log.add(record(KEY, "other", NOW.minusSeconds(119)));
    Awaitility.await().until(() -> claims.entry(KEY).isPresent());
    assertEquals(resolve(false).result(), "too_early");
  }

  @Test
  public void operatorResolvesOldClaim() {
    startAndRead();
    log.add(record(KEY, "other", NOW.minusSeconds(120)));
    Awaitility.await().until(() -> claims.entry(KEY).isPresent());
    assertEquals(resolve(false).result(), "resolved");
    assertTrue(claims.entry(KEY).isEmpty());
  }

  @Test
  public void operatorCannotResolveRequestRunningOnThisNode() {
    startAndRead();
    String claimId = claim(KEY).get().entry().claimId();
    assertEquals(resolve(claimId, true).result(), "in_progress");
  }

  @Test
  public void operatorCannotResolveRequestRunningOnClaimingNode() {
    startAndRead();
    log.add(record(KEY, "other", NOW.minusSeconds(120)));
    Awaitility.await().until(() -> claims.entry(KEY).isPresent());
    var result = resolve("other", false, (node, key) -> Mono.just(node.equals("node-b")));
    assertEquals(result.result(), "in_progress");
    assertTrue(claims.entry(KEY).isPresent());
  }

  private ClaimAdmin.Result resolve(boolean executed) {
    return resolve("other", executed);
  }

  private ClaimAdmin.Result resolve(String claimId, boolean executed) {
    return resolve(claimId, executed, (node, key) -> Mono.just(false));
  }

  private ClaimAdmin.Result resolve(
      String claimId, boolean executed, ClaimAdmin.RemoteRunCheck remoteRunCheck) {
    var admin = new ClaimAdmin(claims, remoteRunCheck, new NodeMetrics(), () -> NOW);
    String body =
        "{\"organisation\":\"org\",\"key\":\"k\",\"claim_id\":\"%s\",\"executed\":%s,"
            + "\"operator\":\"ana\"}";
    return admin.resolve(body.formatted(claimId, executed)).block(Duration.ofSeconds(10));
  }

  private static String record(RequestKey key, String claimId, Instant at) {
    var claimed = new ClaimEvent.Claimed(key, claimId, "node-b", "digest", at.toEpochMilli());
    return ClaimRecord.of(claimed).text();
  }
}
