package org.dragonflyhill.proofs;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.awaitility.Awaitility;
import org.dragonflyhill.daemon.ClaimStep;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a non-repeatable request runs at most once and is never silently lost. */
public final class NonRepeatableProofTest {

  private static final String GUARANTEE = "6 non-repeatable at most once, never silently lost";
  private static final long PAST_DISPATCH_LIMIT_MILLIS = 6_000;

  private Deployment deployment;
  private ExecutionChecker checker;
  private ProcessHelper nodeA;
  private ProcessHelper nodeB;

  /** Starts the stand-ins and two nodes. */
  @BeforeMethod
  public void start() {
    deployment = new Deployment(0);
    ProcessHelper.ExitResult applied = deployment.apply();
    assertEquals(applied.exitCode(), 0, applied.output());
    checker = new ExecutionChecker(deployment);
    nodeA = deployment.startNode("node-a");
    nodeB = deployment.startNode("node-b");
  }

  /** Stops all processes. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    deployment.close();
  }

  @Test
  public void twoCopiesThroughTwoNodesAtTheSameMoment() {
    int rounds = 40;
    for (int i = 0; i < rounds; i++) {
      String order = "race-" + i;
      var other = CompletableFuture.supplyAsync(() -> checker.send(nodeB, order));
      checker.send(nodeA, order);
      other.join();
    }
    for (int i = 0; i < rounds; i++) {
      assertEquals(checker.sendUntilAnswered(nodeA, "race-" + i).status(), 200);
    }
    report("two copies at the same moment", rounds);
  }

  @Test
  public void killedAtEveryStep() {
    List<ClaimStep> steps = List.of(ClaimStep.values());
    List<ProcessHelper> failing =
        steps.parallelStream()
            .map(step -> deployment.startNode(name(step), "--fail-at=" + step.settingName()))
            .toList();
    for (int i = 0; i < steps.size(); i++) {
      checker.send(failing.get(i), name(steps.get(i)));
      failing.get(i).await();
      ExecutionChecker.Response copy = checker.send(nodeB, name(steps.get(i)));
      boolean isSettled = steps.get(i) == ClaimStep.AFTER_SETTLE;
      assertEquals(copy.executed(), isSettled ? "" : "unknown", copy.toString());
    }
    report("node killed at each of " + steps.size() + " steps, copy through another", steps.size());
  }

  @Test
  public void killedAtRandomMoments() {
    Random random = Proof.random("killedAtRandomMoments");
    int rounds = 4;
    int orders = 8;
    deployment.setFaults(deployment.service, "{\"delay_millis\":20}");
    for (int round = 0; round < rounds; round++) {
      ProcessHelper victim = deployment.startNode("victim-" + round);
      String prefix = "kill-" + round + "-";
      var sent =
          java.util.stream.IntStream.range(0, orders)
              .mapToObj(i -> CompletableFuture.runAsync(() -> checker.send(victim, prefix + i)))
              .toArray(CompletableFuture[]::new);
      sleep(random.nextInt(120));
      victim.kill();
      CompletableFuture.allOf(sent).join();
      for (int i = 0; i < orders; i++) {
        checker.send(nodeB, prefix + i);
      }
    }
    report("node killed at a random moment under load", rounds);
  }

  @Test
  public void frozenBetweenClaimAndDispatchPastTheLimit() {
    List<ClaimStep> steps = List.of(ClaimStep.AFTER_CLAIM_WON, ClaimStep.BEFORE_DISPATCH);
    for (ClaimStep step : steps) {
      ProcessHelper frozen =
          deployment.startNode(
              name(step), "--fail-at=" + step.settingName(), "--fail-pause-millis=1000");
      final var late = CompletableFuture.supplyAsync(() -> checker.send(frozen, name(step)));
      Awaitility.await().until(() -> frozen.log().contains("fault_step_reached"));
      frozen.freeze();
      assertEquals(checker.send(nodeB, name(step)).executed(), "unknown");
      sleep(PAST_DISPATCH_LIMIT_MILLIS);
      frozen.resume();
      assertEquals(late.join().executed(), "no", late.join().toString());
      assertEquals(checker.sendUntilAnswered(nodeB, name(step)).status(), 200);
    }
    report("node frozen between claim and dispatch, resumed past the limit", steps.size());
  }

  @Test
  public void frozenUnderLoadAndResumed() {
    Random random = Proof.random("frozenUnderLoadAndResumed");
    int orders = 20;
    deployment.setFaults(deployment.service, "{\"delay_millis\":30}");
    final var sent =
        java.util.stream.IntStream.range(0, orders)
            .mapToObj(i -> CompletableFuture.runAsync(() -> checker.send(nodeA, "frozen-" + i)))
            .toArray(CompletableFuture[]::new);
    sleep(random.nextInt(150));
    nodeA.freeze();
    for (int i = 0; i < orders; i++) {
      checker.send(nodeB, "frozen-" + i);
    }
    sleep(PAST_DISPATCH_LIMIT_MILLIS);
    nodeA.resume();
    CompletableFuture.allOf(sent).join();
    report("node frozen at a random moment under load and resumed", 1);
  }

  @Test
  public void lostAppendAnswers() {
    int rounds = 12;
    for (int i = 0; i < rounds; i++) {
      deployment.setFaults(deployment.log, "{\"drop_answers\":" + (1 + i % 6) + "}");
      checker.send(i % 2 == 0 ? nodeA : nodeB, "lost-" + i);
    }
    deployment.setFaults(deployment.log, "{}");
    for (int i = 0; i < rounds; i++) {
      assertEquals(checker.sendUntilAnswered(nodeB, "lost-" + i).status(), 200);
    }
    report("answers of the log lost after their effect", rounds);
  }

  @Test
  public void logDownAfterDispatch() {
    int rounds = 3;
    deployment.setFaults(deployment.service, "{\"delay_millis\":400}");
    for (int i = 0; i < rounds; i++) {
      String order = "after-" + i;
      var response = CompletableFuture.supplyAsync(() -> checker.send(nodeA, order));
      Awaitility.await().until(() -> checker.countExecutions(order) == 1);
      deployment.setFaults(deployment.log, "{\"refuse\":-1}");
      assertEquals(response.join().status(), 200, response.join().toString());
      assertEquals(checker.send(nodeB, order).executed(), "unknown");
      deployment.setFaults(deployment.log, "{}");
      assertEquals(checker.sendUntilAnswered(nodeB, order).status(), 200);
    }
    report("log down between dispatch and outcome", rounds);
  }

  @Test
  public void serviceAnswerLostAfterEffect() {
    int rounds = 4;
    for (int i = 0; i < rounds; i++) {
      deployment.setFaults(deployment.service, "{\"drop_answers\":1}");
      assertEquals(checker.send(nodeA, "effect-" + i).executed(), "unknown");
      assertEquals(checker.send(nodeB, "effect-" + i).executed(), "unknown");
      // After each lost answer, the node treats the endpoint as failing for a while.
      awaitServiceUsable(i);
    }
    report("answer of the service lost after its effect", rounds);
  }

  @Test
  public void callerGoesAwayDuringDispatch() {
    deployment.setFaults(deployment.service, "{\"delay_millis\":1000}");
    var request =
        deployment
            .request(nodeA, "/v1/services/dispatch/send", Deployment.GRANJA_KEY)
            .timeout(Duration.ofMillis(500))
            .header("Idempotency-Key", "gone")
            .POST(java.net.http.HttpRequest.BodyPublishers.ofString("{\"order\":\"gone\"}"))
            .build();
    org.testng.Assert.assertThrows(
        java.io.UncheckedIOException.class, () -> deployment.send(request));
    assertEquals(checker.sendUntilAnswered(nodeB, "gone").status(), 200);
    report("caller goes away during dispatch", 1);
  }

  @Test
  public void freshNodeInTheMiddle() {
    int rounds = 3;
    int orders = 30;
    for (int round = 0; round < rounds; round++) {
      String prefix = "fresh-" + round + "-";
      var load =
          CompletableFuture.runAsync(
              () -> {
                for (int i = 0; i < orders; i++) {
                  checker.send(nodeA, prefix + i);
                }
              });
      ProcessHelper fresh = deployment.startNodeWithoutWaiting("fresh-" + round);
      for (int i = 0; i < orders; i++) {
        checker.send(fresh, prefix + i);
      }
      load.join();
      fresh.kill();
    }
    copiesThroughNodeThatHasNotReadTheLog(orders);
    report("fresh node started in the middle", rounds);
  }

  // Whether the nodes above have read the log before their first request depends on the load of the
  // machine. This node certainly has not.
  private void copiesThroughNodeThatHasNotReadTheLog(int orders) {
    deployment.setFaults(deployment.log, "{\"refuse\":-1}");
    ProcessHelper unread = deployment.startNodeWithoutWaiting("fresh-unread");
    for (int i = 0; i < orders; i++) {
      ExecutionChecker.Response copy = checker.send(unread, "fresh-0-" + i);
      assertEquals(copy.reason(), "no_configuration", copy.toString());
    }
    deployment.setFaults(deployment.log, "{}");
    for (int i = 0; i < orders; i++) {
      assertEquals(checker.sendUntilAnswered(unread, "fresh-0-" + i).status(), 200);
    }
  }

  private void awaitServiceUsable(int round) {
    Awaitility.await()
        .pollInterval(Duration.ofMillis(200))
        .until(() -> checker.send(nodeA, "probe-" + round).status() == 200);
  }

  private void report(String failure, int rounds) {
    List<String> violations = checker.violations(nodeB);
    violations.forEach(System.out::println);
    Proof.report(GUARANTEE, failure, rounds, checker.requests(), violations.size());
  }

  private static String name(ClaimStep step) {
    return step.settingName();
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
