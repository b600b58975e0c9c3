package org.dragonflyhill.proofs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.dragonflyhill.ports.Json;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a planned stop of a node interrupts no request. */
public final class PlannedStopProofTest {

  private static final String GUARANTEE = "8 planned stop cuts no request";
  private static final int CALLERS = 8;
  private static final int ANSWER_TOKENS = 120;

  private Deployment deployment;

  /** Starts two runners. */
  @BeforeMethod
  public void start() {
    deployment = new Deployment(2);
    assertEquals(deployment.apply().exitCode(), 0);
    deployment.runners.forEach(
        runner -> deployment.setFaults(runner, "{\"token_delay_millis\":3}"));
  }

  /** Stops all processes. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    deployment.close();
  }

  @Test
  public void nodeUnderLoadStopsWithoutInterruptingRequests() {
    ProcessHelper node = deployment.startNode("node-a", "--balancer-delay-millis=500");
    try (LoadGenerator load = stopUnderLoad(node, LoadGenerator.OnRefusal.STOP_SENDING)) {
      Proof.report(
          GUARANTEE,
          "node under load is told to stop",
          1,
          load.requests(),
          load.incomplete().size() + (isStoppedCleanly(node) ? 0 : 1));
      assertEquals(load.completed() + load.refused().size(), load.requests());
    }
  }

  /**
   * Callers that keep opening connections may connect just before the listener closes. A connection
   * on which the node has not read a request by then ends without an answer, with a reset or an end
   * of stream, so such requests are not counted as violations. Every request that the node has
   * accepted must be answered completely.
   */
  @Test
  public void nodeAnswersAllAcceptedRequestsOfRetryingCallers() {
    ProcessHelper node = deployment.startNode("node-a", "--balancer-delay-millis=500");
    try (LoadGenerator load = stopUnderLoad(node, LoadGenerator.OnRefusal.RETRY)) {
      int answered = load.completed() + load.refused().size();
      int accepted = stopLogRecord(node).at("/message/requests").asInt();
      Proof.report(
          GUARANTEE,
          "node is told to stop, callers ask again at once",
          1,
          load.requests(),
          Math.abs(accepted - answered) + (isStoppedCleanly(node) ? 0 : 1));
    }
  }

  @Test
  public void stoppingNodeReportsRunningRequests() throws Exception {
    ProcessHelper node = deployment.startNode("node-a");
    deployment.runners.forEach(
        runner -> deployment.setFaults(runner, "{\"token_delay_millis\":30}"));
    final CompletableFuture<HttpResponse<String>> answer =
        CompletableFuture.supplyAsync(() -> deployment.complete(node, "slow", ANSWER_TOKENS, true));
    org.awaitility.Awaitility.await().until(() -> status(node).contains("\"running_requests\":1"));
    node.terminate();
    org.awaitility.Awaitility.await()
        .until(() -> status(node).contains("waits for 1 running requests"));
    assertTrue(status(node).contains("\"age_millis\":"), status(node));
    assertEquals(deployment.get(node, "/readyz").statusCode(), 503);
    assertTrue(answer.get().body().endsWith("data: [DONE]\n\n"));
    node.await();
    assertTrue(node.log().contains("node_waiting"));
    Proof.report(
        GUARANTEE,
        "node with one slow stream is told to stop",
        1,
        1,
        isStoppedCleanly(node) ? 0 : 1);
  }

  @Test
  public void requestExceedingStopTimeoutGetsExplicitError() throws Exception {
    ProcessHelper node = deployment.startNode("node-a", "--stop-timeout-millis=500");
    deployment.runners.forEach(
        runner -> deployment.setFaults(runner, "{\"token_delay_millis\":200}"));
    CompletableFuture<HttpResponse<String>> answer =
        CompletableFuture.supplyAsync(() -> deployment.complete(node, "slow", ANSWER_TOKENS, true));
    org.awaitility.Awaitility.await().until(() -> status(node).contains("\"running_requests\":1"));
    node.terminate();
    String body = answer.get().body();
    int violations = body.contains("\"reason\":\"stopping\"") && !body.contains("[DONE]") ? 0 : 1;
    node.await();
    Proof.report(GUARANTEE, "a stream outlasts the longest stop", 1, 1, violations);
    assertTrue(!isStoppedCleanly(node), node.log());
  }

  private LoadGenerator stopUnderLoad(ProcessHelper node, LoadGenerator.OnRefusal onRefusal) {
    long seed = Proof.random("PlannedStopProofTest").nextLong();
    LoadGenerator load =
        new LoadGenerator(deployment, node, CALLERS, ANSWER_TOKENS, seed, onRefusal);
    load.awaitCompleted(2 * CALLERS);
    node.terminate();
    node.await();
    load.close();
    System.out.println(
        "complete "
            + load.completed()
            + ", refused "
            + load.refused().size()
            + ", incomplete "
            + load.incomplete());
    return load;
  }

  private static boolean isStoppedCleanly(ProcessHelper node) {
    return stopLogRecord(node).at("/message/clean").asBoolean();
  }

  private static JsonNode stopLogRecord(ProcessHelper node) {
    String line =
        node.log().lines().filter(text -> text.contains("node_stopped")).findFirst().orElseThrow();
    return Json.readTree(line).get();
  }

  private String status(ProcessHelper node) {
    return deployment
        .send(
            java.net.http.HttpRequest.newBuilder(
                    java.net.URI.create("http://" + node.address("admin_port") + "/admin/status"))
                .build())
        .body();
  }
}
