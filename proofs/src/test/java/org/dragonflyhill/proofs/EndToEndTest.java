package org.dragonflyhill.proofs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.standins.RunnerStandin;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** End-to-end tests of requests through nodes that run as separate processes. */
public final class EndToEndTest {

  private static final String PROMPT = "the shed log ".repeat(2_000);

  private Deployment deployment;
  private ProcessHelper node;

  /** Starts two runners and two nodes. */
  @BeforeClass
  public void start() {
    deployment = new Deployment(2);
    ProcessHelper.ExitResult applied = deployment.apply();
    assertEquals(applied.exitCode(), 0, applied.output());
    node = deployment.startNode("node-a");
    deployment.startNode("node-b");
  }

  /** Stops all processes. */
  @AfterClass(alwaysRun = true)
  public void stop() {
    deployment.close();
  }

  @Test
  public void answersWholeCompletion() {
    HttpResponse<String> answer = deployment.complete(node, PROMPT, 12, false);
    assertEquals(answer.statusCode(), 200, answer.body());
    String text = Json.readTree(answer.body()).get().at("/choices/0/text").asText();
    assertEquals(text, RunnerStandin.text(PROMPT, "v1", 12));
  }

  @Test
  public void streamsCompletionToItsEnd() {
    HttpResponse<String> answer = deployment.complete(node, PROMPT, 5, true);
    assertEquals(answer.statusCode(), 200, answer.body());
    assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
    assertEquals(answer.body().lines().filter(line -> line.startsWith("data:")).count(), 7);
  }

  @Test
  public void runsNonRepeatableRequestOnceThroughTwoNodes() {
    HttpResponse<String> first = deployment.dispatch(node, "send", "order-1", "{\"shed\":4}");
    assertEquals(first.statusCode(), 200, first.body());
    ProcessHelper other = deployment.nodes.get(1);
    org.awaitility.Awaitility.await()
        .until(() -> deployment.get(other, "/v1/requests/order-1").statusCode() == 200);
    HttpResponse<String> second = deployment.dispatch(other, "send", "order-1", "{\"shed\":4}");
    assertEquals(second.body(), first.body());
    long executed =
        deployment.records(deployment.service).stream()
            .filter(record -> record.path("operation").asText().equals("send"))
            .count();
    assertEquals(executed, 1);
  }

  @Test
  public void refusesUnknownKey() {
    var request = deployment.request(node, "/v1/requests/x", "no-such-key").build();
    HttpResponse<String> answer = deployment.send(request);
    assertEquals(answer.statusCode(), 401);
    assertTrue(answer.body().contains("\"executed\":\"no\""), answer.body());
  }
}
