package org.dragonflyhill.proofs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import org.awaitility.Awaitility;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.standins.RunnerStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that no request uses pieces or gets an answer of a weight version other than its own. */
public final class WeightVersionProofTest {

  private static final String GUARANTEE = "3 weight versions";
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int PIECES = 2;
  private static final int PIECE_BYTES = 8_000;
  private static final int ANSWER_TOKENS = 10;
  private static final int LONG_ANSWER_TOKENS = 5_000;
  private static final int PROMPTS = 4;
  private static final int LOAD_THREADS = 2;

  private Deployment deployment;
  private ProcessHelper node;
  private Random random;

  /** Starts two runners, two stores and a node. */
  @BeforeMethod
  public void start() {
    random = Proof.random(GUARANTEE);
    deployment = new Deployment(2);
    deployment.startStores(2);
    ProcessHelper.ExitResult applied = deployment.apply();
    assertEquals(applied.exitCode(), 0, applied.output());
    node = deployment.startNode("node-a");
  }

  /** Stops all processes. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    deployment.close();
  }

  @Test
  public void changeUnderLoadMixesNoVersions() {
    List<String> prompts = prompts();
    prompts.forEach(prompt -> send(prompt));
    awaitStored(PROMPTS * PIECES);
    clearRunnerCaches();
    AtomicBoolean isRunning = new AtomicBoolean(true);
    ExecutorService threads = Executors.newFixedThreadPool(LOAD_THREADS);
    List<CompletableFuture<List<Answered>>> loads = new ArrayList<>();
    for (int i = 0; i < LOAD_THREADS; i++) {
      loads.add(CompletableFuture.supplyAsync(() -> sendWhileRunning(prompts, isRunning), threads));
    }
    changeWeightVersion("v2");
    List<Answered> after = new ArrayList<>();
    prompts.forEach(prompt -> after.add(new Answered(prompt, send(prompt))));
    isRunning.set(false);
    List<Answered> during = new ArrayList<>();
    loads.forEach(load -> during.addAll(load.join()));
    threads.shutdown();
    int violations =
        (int)
            during.stream()
                .filter(answer -> !answer.isOfVersion("v1") && !answer.isOfVersion("v2"))
                .count();
    violations += (int) after.stream().filter(answer -> !answer.isOfVersion("v2")).count();
    violations += countPromptsNotRecomputed(prompts.size()) + countMismatchedImports();
    int requests = PROMPTS + during.size() + after.size();
    Proof.report(GUARANTEE, "swap in the middle of load", 1, requests, violations);
  }

  @Test
  public void runningRequestEndsOnItsOwnVersion() {
    String prompt = prompts().getFirst();
    CompletableFuture<HttpResponse<String>> running =
        CompletableFuture.supplyAsync(
            () -> deployment.complete(node, prompt, LONG_ANSWER_TOKENS, false));
    Awaitility.await().atMost(TIMEOUT).until(() -> completions() > 0);
    changeWeightVersion("v2");
    boolean isChangedWhileRunning = !running.isDone();
    String text = text(running.join());
    assertTrue(isChangedWhileRunning, "the answer ended before the weight version changed");
    int violations = text.equals(RunnerStandin.text(prompt, "v1", LONG_ANSWER_TOKENS)) ? 0 : 1;
    Proof.report(GUARANTEE, "swap while an answer is running", 1, 1, violations);
  }

  @Test
  public void answerOfAnotherVersionIsDiscarded() {
    int violations = 0;
    deployment.runners.forEach(
        runner -> deployment.setFaults(runner, "{\"wrong_weight_version\":true}"));
    for (String prompt : prompts()) {
      HttpResponse<String> plain = send(prompt);
      violations += plain.statusCode() == 200 ? 1 : 0;
      HttpResponse<String> streamed = deployment.complete(node, prompt, ANSWER_TOKENS, true);
      String wrong = RunnerStandin.tokenText(prompt, "v1-other", 0);
      violations += streamed.body().contains("\"" + wrong + "\"") ? 1 : 0;
    }
    Proof.report(GUARANTEE, "runner answers under another version", 1, PROMPTS * 2, violations);
  }

  private List<String> prompts() {
    List<String> prompts = new ArrayList<>();
    for (int i = 0; i < PROMPTS; i++) {
      StringBuilder text = new StringBuilder();
      while (text.length() < PIECES * PIECE_BYTES) {
        text.append(random.nextInt(1_000_000)).append(' ');
      }
      prompts.add(text.toString());
    }
    return prompts;
  }

  private List<Answered> sendWhileRunning(List<String> prompts, AtomicBoolean isRunning) {
    List<Answered> answers = new ArrayList<>();
    while (isRunning.get()) {
      String prompt = prompts.get(answers.size() % prompts.size());
      answers.add(new Answered(prompt, send(prompt)));
    }
    return answers;
  }

  /** Changes the weight version and waits until the node uses the new configuration. */
  private void changeWeightVersion(String version) {
    final long before = deployment.metric(node, "configuration.version");
    ObjectNode inventory = deployment.inventory();
    ((ObjectNode) inventory.path("models").get(0)).put("weight_version", version);
    ProcessHelper.ExitResult applied = deployment.apply(inventory);
    assertEquals(applied.exitCode(), 0, applied.output());
    Awaitility.await()
        .atMost(TIMEOUT)
        .until(() -> deployment.metric(node, "configuration.version") > before);
  }

  private HttpResponse<String> send(String prompt) {
    return deployment.complete(node, prompt, ANSWER_TOKENS, false);
  }

  private static String text(HttpResponse<String> answer) {
    return Json.readTree(answer.body()).get().at("/choices/0/text").asText();
  }

  private void awaitStored(int pieces) {
    Awaitility.await()
        .atMost(TIMEOUT)
        .until(() -> deployment.metric(node, "store.index_entries") >= pieces);
  }

  private void clearRunnerCaches() {
    deployment.runners.forEach(runner -> deployment.call(runner, "POST", "/cache/clear"));
    Awaitility.await()
        .atMost(TIMEOUT)
        .until(() -> deployment.metric(node, "cache.index_entries") == 0);
  }

  private List<JsonNode> runnerRecords() {
    return deployment.runners.stream().flatMap(r -> deployment.records(r).stream()).toList();
  }

  private long completions() {
    return runnerRecords().stream().filter(record -> record.has("prompt_tokens")).count();
  }

  /**
   * Returns the number of prompts minus the number of completions under v2 that used no cached
   * tokens, at least 0. The first completion of each prompt under v2 must use none.
   */
  private int countPromptsNotRecomputed(int prompts) {
    long computed =
        runnerRecords().stream()
            .filter(record -> record.path("weight_version").asText().equals("v2"))
            .filter(record -> record.has("prompt_tokens"))
            .filter(record -> record.path("cached_tokens").asLong() == 0)
            .count();
    return (int) Math.max(0, prompts - computed);
  }

  /** Counts used imports whose bytes are not those of the piece and weight version requested. */
  private int countMismatchedImports() {
    List<JsonNode> used =
        runnerRecords().stream().filter(record -> record.path("is_used").asBoolean()).toList();
    assertTrue(!used.isEmpty(), "no piece of the old version was imported before the change");
    return (int)
        used.stream()
            .filter(record -> !record.path("digest").equals(record.path("true_digest")))
            .count();
  }

  private record Answered(String prompt, HttpResponse<String> answer) {

    boolean isOfVersion(String version) {
      return answer.statusCode() == 200
          && text(answer).equals(RunnerStandin.text(prompt, version, ANSWER_TOKENS));
    }
  }
}
