package org.dragonflyhill.proofs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.standins.RunnerStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that every caller gets the complete answer to its own request or an explicit error. */
public final class StreamProofTest {

  private static final String GUARANTEE = "4 whole answer to the right caller";
  private static final int CALLERS = 6;
  private static final int ANSWER_TOKENS = 60;

  private final Random random = Proof.random("StreamProofTest");
  private Deployment deployment;
  private ProcessHelper node;
  private ExecutorService callers;

  /** Starts three runners and a node. */
  @BeforeMethod
  public void start() {
    deployment = new Deployment(3);
    assertEquals(deployment.apply().exitCode(), 0);
    node = deployment.startNode("node-a");
    callers = Executors.newFixedThreadPool(CALLERS);
  }

  /** Stops all processes. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    callers.shutdownNow();
    deployment.close();
  }

  @Test
  public void dropsDuplicatedChunks() {
    setRunnerFaults("{\"duplicate_every\":3}");
    report("duplicated chunks", countWrongAnswers(true));
  }

  @Test
  public void dropsLateChunks() {
    setRunnerFaults("{\"late_every\":4}");
    report("late chunks", countWrongAnswers(true));
  }

  @Test
  public void resumesAfterChunkOfAnotherRequest() {
    setRunnerFaults("{\"crossed_every\":9,\"faulty_completions\":2}");
    report("crossed chunks", countWrongAnswers(true));
  }

  @Test
  public void resumesAfterGap() {
    setRunnerFaults("{\"gap_every\":7,\"faulty_completions\":2}");
    report("lost chunks", countWrongAnswers(true));
  }

  @Test
  public void resumesCutStream() {
    setRunnerFaults("{\"cut_after_tokens\":5,\"faulty_completions\":2}");
    report("cut streams", countWrongAnswers(true));
  }

  @Test
  public void gathersPlainAnswerFromCutStreams() {
    setRunnerFaults("{\"cut_after_tokens\":5,\"faulty_completions\":2}");
    report("cut streams, plain answers", countWrongAnswers(false));
  }

  @Test
  public void throwsAwayAnswerOfAnotherWeightVersion() {
    deployment.setFaults(deployment.runners.getFirst(), "{\"wrong_weight_version\":true}");
    report("one runner answers under another weight version", countWrongAnswers(true));
  }

  @Test
  public void resumesElsewhereWhenRunnerIsKilled() throws Exception {
    setRunnerFaults("{\"token_delay_millis\":20}");
    final var violations =
        java.util.concurrent.CompletableFuture.supplyAsync(() -> countWrongAnswers(true));
    org.awaitility.Awaitility.await()
        .until(() -> !deployment.records(deployment.runners.getFirst()).isEmpty());
    Thread.sleep(200 + random.nextInt(400));
    deployment.runners.getFirst().kill();
    report("runner killed in the middle of streams", violations.get());
  }

  @Test
  public void neverEndsCutStreamAsWhole() {
    setRunnerFaults("{\"cut_after_tokens\":5}");
    HttpResponse<String> answer = deployment.complete(node, "cut for good", ANSWER_TOKENS, true);
    int violations = answer.body().contains("[DONE]") ? 1 : 0;
    Proof.report(GUARANTEE, "every stream is cut (streamed answer)", 1, 1, violations);
    assertTrue(answer.body().contains("event: error"), answer.body());
  }

  @Test
  public void answersCutStreamWithProblem() {
    setRunnerFaults("{\"cut_after_tokens\":5}");
    HttpResponse<String> answer = deployment.complete(node, "cut for good", ANSWER_TOKENS, false);
    int violations = answer.statusCode() == 200 ? 1 : 0;
    Proof.report(GUARANTEE, "every stream is cut (plain answer)", 1, 1, violations);
    assertEquals(answer.statusCode(), 502, answer.body());
  }

  private void setRunnerFaults(String faults) {
    deployment.runners.forEach(runner -> deployment.setFaults(runner, faults));
  }

  private void report(String failure, int violations) {
    Proof.report(GUARANTEE, failure, 1, CALLERS, violations);
  }

  /** Sends a different prompt per caller in parallel and returns the number of wrong answers. */
  private int countWrongAnswers(boolean isStreamed) {
    long salt = random.nextLong();
    List<Callable<Boolean>> calls =
        java.util.stream.IntStream.range(0, CALLERS)
            .<Callable<Boolean>>mapToObj(
                i -> () -> isCorrectAnswer("prompt " + salt + i, isStreamed))
            .toList();
    try {
      int violations = 0;
      for (Future<Boolean> call : callers.invokeAll(calls)) {
        violations += call.get() ? 0 : 1;
      }
      return violations;
    } catch (InterruptedException | java.util.concurrent.ExecutionException e) {
      throw new IllegalStateException(e);
    }
  }

  private boolean isCorrectAnswer(String prompt, boolean isStreamed) {
    HttpResponse<String> answer = deployment.complete(node, prompt, ANSWER_TOKENS, isStreamed);
    String body = answer.body();
    String text =
        isStreamed
            ? LoadGenerator.streamedText(body)
            : Json.readTree(body).get().at("/choices/0/text").asText();
    boolean isEnded = !isStreamed || body.endsWith("data: [DONE]\n\n");
    return answer.statusCode() == 200
        && isEnded
        && text.equals(RunnerStandin.text(prompt, "v1", ANSWER_TOKENS));
  }
}
