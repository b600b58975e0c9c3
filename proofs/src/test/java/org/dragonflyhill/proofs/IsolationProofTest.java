package org.dragonflyhill.proofs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.awaitility.Awaitility;
import org.awaitility.core.ConditionTimeoutException;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.standins.RunnerStandin;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests that an organisation learns nothing about the requests, pieces and keys of another. */
public final class IsolationProofTest {

  private static final String GUARANTEE = "2 organisations stay apart";
  private static final String PROMPT_MARKER = "shed-secret-";
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int PIECES = 2;
  private static final int PIECE_BYTES = 8_000;
  private static final int ANSWER_TOKENS = 4;
  private static final int ROUNDS = 5;

  private Deployment deployment;
  private List<String> keys;
  private Random random;

  /** Starts two runners, a store and two nodes. */
  @BeforeClass
  public void start() {
    random = Proof.random(GUARANTEE);
    keys = List.of(Deployment.GRANJA_KEY, Deployment.OTRA_KEY);
    deployment = new Deployment(2);
    deployment.startStores(1);
    ProcessHelper.ExitResult applied = deployment.apply();
    assertEquals(applied.exitCode(), 0, applied.output());
    deployment.startNode("node-a");
    deployment.startNode("node-b");
  }

  /** Stops all processes. */
  @AfterClass(alwaysRun = true)
  public void stop() {
    deployment.close();
  }

  @Test
  public void samePromptHitsOnlyTheCacheOfItsOrganisation() {
    int violations = 0;
    for (int round = 0; round < ROUNDS; round++) {
      String prompt = prompt();
      ProcessHelper node = randomNode();
      violations += countWrong(complete(node, keys.get(round % 2), prompt), prompt, false);
      // The other organisation must not get a cached copy from a runner or a store.
      violations += countWrong(complete(node, keys.get((round + 1) % 2), prompt), prompt, false);
      violations += countWrong(complete(node, keys.get(round % 2), prompt), prompt, true);
    }
    violations += missingPieces();
    Proof.report(GUARANTEE, "same prompt of two organisations", ROUNDS, ROUNDS * 3, violations);
  }

  @Test(dependsOnMethods = "samePromptHitsOnlyTheCacheOfItsOrganisation")
  public void storedPiecesAreImportedOnlyByTheirOrganisation() {
    int violations = 0;
    for (int round = 0; round < ROUNDS; round++) {
      final String prompt = prompt();
      ProcessHelper node = deployment.nodes.getFirst();
      final int before = storedPieces().size();
      complete(node, Deployment.GRANJA_KEY, prompt);
      awaitStored(node, before + PIECES);
      clearRunnerCaches();
      violations += countWrong(complete(node, Deployment.OTRA_KEY, prompt), prompt, false);
      clearRunnerCaches();
      violations += countWrong(complete(node, Deployment.GRANJA_KEY, prompt), prompt, true);
    }
    violations += piecesImportedByTwoOrganisations();
    Proof.report(GUARANTEE, "pieces of one in a store", ROUNDS, ROUNDS * 3, violations);
  }

  @Test
  public void idempotencyKeysOfTwoOrganisationsAreSeparate() {
    int violations = 0;
    for (int round = 0; round < ROUNDS; round++) {
      String key = "order-" + random.nextInt(1_000_000);
      HttpResponse<String> first = dispatch(Deployment.GRANJA_KEY, key, "{\"shed\":1}");
      HttpResponse<String> second = dispatch(Deployment.OTRA_KEY, key, "{\"shed\":2}");
      boolean isSeparate = first.statusCode() == 200 && second.statusCode() == 200;
      violations += isSeparate && !first.body().equals(second.body()) ? 0 : 1;
    }
    Proof.report(GUARANTEE, "same idempotency key", ROUNDS, ROUNDS * 2, violations);
  }

  @Test
  public void keyOfAnotherOrganisationAnswersLikeAnAbsentOne() {
    int violations = 0;
    for (int round = 0; round < ROUNDS; round++) {
      String key = "private-" + random.nextInt(1_000_000);
      assertEquals(dispatch(Deployment.GRANJA_KEY, key, "{\"shed\":3}").statusCode(), 200);
      Answer absent = outcome(Deployment.OTRA_KEY, "absent-" + random.nextInt(1_000_000));
      violations += outcome(Deployment.OTRA_KEY, key).equals(absent) ? 0 : 1;
    }
    Proof.report(GUARANTEE, "guessed request keys", ROUNDS, ROUNDS * 3, violations);
  }

  @Test
  public void guessedBearerKeysAnswerLikeAbsentOnes() {
    int violations = 0;
    List<String> guesses =
        List.of("", "granja", "granja-key2", "granja-ke", Deployment.sha256("granja-key"));
    Answer absent = outcome("no-such-key-" + random.nextInt(1_000_000), "order-1");
    for (String guess : guesses) {
      violations += outcome(guess, "order-1").equals(absent) ? 0 : 1;
    }
    assertEquals(absent.status(), 401);
    Proof.report(GUARANTEE, "guessed bearer keys", 1, guesses.size() + 1, violations);
  }

  @Test(dependsOnMethods = "storedPiecesAreImportedOnlyByTheirOrganisation")
  public void logsAndMetricsNameNoOrganisationPromptOrKey() {
    int violations = 0;
    List<String> forbidden =
        List.of(PROMPT_MARKER, Deployment.GRANJA_KEY, Deployment.OTRA_KEY, "granja", "otra");
    for (ProcessHelper node : deployment.nodes) {
      String metrics = deployment.get(node, "/metrics").body();
      assertTrue(metrics.contains("store_index_entries"), "metrics contain no store metrics");
      for (String word : forbidden) {
        violations += metrics.contains(word) || node.log().contains(word) ? 1 : 0;
      }
    }
    Proof.report(GUARANTEE, "logs and metrics searched", 1, 0, violations);
  }

  private String prompt() {
    StringBuilder text = new StringBuilder(PROMPT_MARKER);
    while (text.length() < PIECES * PIECE_BYTES) {
      text.append(random.nextInt(1_000_000)).append(' ');
    }
    return text.toString();
  }

  private ProcessHelper randomNode() {
    return deployment.nodes.get(random.nextInt(deployment.nodes.size()));
  }

  private HttpResponse<String> complete(ProcessHelper node, String key, String prompt) {
    return deployment.completeAs(node, key, prompt, ANSWER_TOKENS);
  }

  private static int countWrong(HttpResponse<String> answer, String prompt, boolean isCached) {
    JsonNode body = Json.readTree(answer.body()).get();
    int cached = body.at("/usage/prompt_tokens_details/cached_tokens").asInt(-1);
    String text = body.at("/choices/0/text").asText();
    boolean isRight =
        text.equals(RunnerStandin.text(prompt, "v1", ANSWER_TOKENS))
            && (isCached ? cached == PIECES * 2_000 : cached == 0);
    return isRight ? 0 : 1;
  }

  private void awaitStored(ProcessHelper node, long pieces) {
    Awaitility.await()
        .atMost(TIMEOUT)
        .until(() -> deployment.metric(node, "store.index_entries") >= pieces);
  }

  private void clearRunnerCaches() {
    deployment.runners.forEach(runner -> deployment.call(runner, "POST", "/cache/clear"));
    for (ProcessHelper node : deployment.nodes) {
      Awaitility.await()
          .atMost(TIMEOUT)
          .until(() -> deployment.metric(node, "cache.index_entries") == 0);
    }
  }

  /**
   * Returns how many pieces the store lacks. Each organisation must store its own copy, so pieces
   * are missing if two organisations share some.
   */
  private int missingPieces() {
    int expected = ROUNDS * PIECES;
    try {
      Awaitility.await().atMost(TIMEOUT).until(() -> storedPieces().size() >= 2 * expected);
    } catch (ConditionTimeoutException e) {
      return 2 * expected - storedPieces().size();
    }
    return 0;
  }

  private Set<String> storedPieces() {
    String body =
        deployment.call(deployment.stores.getFirst(), "GET", "/manifests?limit=10000").body();
    Set<String> pieces = new HashSet<>();
    Json.readTree(body)
        .get()
        .path("manifests")
        .forEach(manifest -> pieces.add(manifest.path("piece_id").asText()));
    return pieces;
  }

  private int piecesImportedByTwoOrganisations() {
    Map<String, Set<String>> importers = new HashMap<>();
    for (ProcessHelper runner : deployment.runners) {
      for (JsonNode record : deployment.records(runner)) {
        if (record.has("imported_piece")) {
          importers
              .computeIfAbsent(record.path("imported_piece").asText(), id -> new HashSet<>())
              .add(record.path("organisation").asText());
        }
      }
    }
    assertTrue(importers.size() >= ROUNDS * PIECES, "too few imported pieces: " + importers.size());
    return (int) importers.values().stream().filter(names -> names.size() > 1).count();
  }

  private HttpResponse<String> dispatch(String key, String idempotencyKey, String body) {
    return deployment.send(
        deployment
            .request(randomNode(), "/v1/services/dispatch/send", key)
            .header("Idempotency-Key", idempotencyKey)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build());
  }

  private Answer outcome(String key, String idempotencyKey) {
    HttpResponse<String> answer =
        deployment.send(
            deployment.request(randomNode(), "/v1/requests/" + idempotencyKey, key).build());
    JsonNode body = Json.readTree(answer.body()).get();
    ((ObjectNode) body).remove("request_id");
    return new Answer(answer.statusCode(), body);
  }

  private record Answer(int status, JsonNode body) {}
}
