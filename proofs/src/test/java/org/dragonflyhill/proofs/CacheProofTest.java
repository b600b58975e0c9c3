package org.dragonflyhill.proofs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.awaitility.Awaitility;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.standins.RunnerStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that no runner uses a cache block that was freed, is partly written or belongs to another
 * piece, whichever faults the stores and the runner have.
 */
public final class CacheProofTest {

  private static final String GUARANTEE = "1 no freed or partly written cache block is read";
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int PIECES = 3;
  private static final int PIECE_BYTES = 8_000;
  private static final int ANSWER_TOKENS = 6;
  private static final int ROUNDS = 3;
  private static final int MIN_LOST_ANSWERS = 6;
  private static final int FILLING_ROUNDS = 8;
  private static final long SMALL_CAPACITY = 6_000;
  private static final long LEASE_MILLIS = 300;

  private Deployment deployment;
  private ProcessHelper node;
  private Random random;
  private int requests;
  private int wrongAnswers;

  /** Starts a runner, two stores and two nodes with a short read lease. */
  @BeforeMethod
  public void start() {
    random = Proof.random(GUARANTEE);
    requests = 0;
    wrongAnswers = 0;
    deployment = new Deployment(1);
    deployment.startStores(2);
    ProcessHelper.ExitResult applied = deployment.apply();
    assertEquals(applied.exitCode(), 0, applied.output());
    node = startNode("node-a");
    startNode("node-b");
  }

  /** Stops all processes. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    deployment.close();
  }

  private ProcessHelper startNode(String name) {
    return deployment.startNode(
        name, "--read-lease-millis=" + LEASE_MILLIS, "--sweep-interval-millis=200");
  }

  @Test
  public void importsExportedPieces() {
    for (int round = 0; round < ROUNDS; round++) {
      String prompt = storedPrompt();
      clearRunnerCache();
      assertEquals(cachedTokens(complete(prompt)), PIECES * 2_000);
    }
    assertEquals(usedPieces().size(), ROUNDS * PIECES);
    report("no failure", ROUNDS);
  }

  @Test
  public void importsNothingWhenEngineCannotVerifyImports() {
    runnerFaults("{\"report_no_import_check\":true}");
    // A node learns whether the engine verifies imports when it first reads the runner's cache
    // contents, so a node is started after the fault is set.
    ProcessHelper late = startNode("node-late");
    String prompt = prompt();
    complete(late, prompt);
    awaitStored(PIECES);
    clearRunnerCache();
    assertEquals(cachedTokens(complete(late, prompt)), 0);
    assertEquals(importedPieces().size(), 0);
    report("engine without a check of imports", 1);
  }

  /** Pieces of a prompt that was served while no store could be used are stored once one can. */
  @Test
  public void storesQueuedPiecesOnceStoreIsUsable() {
    storeFaults("{\"refuse\":-1}");
    ProcessHelper late = startNode("node-late");
    complete(late, prompt());
    Awaitility.await().atMost(TIMEOUT).until(() -> deployment.metric(late, "export.queued") > 0);
    storeFaults("{}");
    awaitStored(PIECES);
    report("prompt served before a store is usable", 1);
  }

  @Test
  public void detectsDamagedBytesUsedByUnverifiedImport() {
    final String prompt = storedPrompt();
    runnerFaults("{\"skip_import_check\":true}");
    storeFaults("{\"corrupt_reads\":true}");
    clearRunnerCache();
    complete(prompt);
    assertTrue(violations() > 0, "damaged bytes were used but not counted as a violation");
  }

  @Test
  public void recomputesTruncatedReads() {
    recomputesDamagedReads("{\"truncate_reads\":true}", "reads truncated");
  }

  @Test
  public void recomputesSwappedReads() {
    recomputesDamagedReads("{\"swap_reads\":true}", "reads swapped");
  }

  @Test
  public void recomputesCorruptedReads() {
    recomputesDamagedReads("{\"corrupt_reads\":true}", "reads with a changed byte");
  }

  private void recomputesDamagedReads(String fault, String name) {
    for (int round = 0; round < ROUNDS; round++) {
      String prompt = storedPrompt();
      clearRunnerCache();
      storeFaults(fault);
      assertEquals(cachedTokens(complete(prompt)), 0);
      storeFaults("{}");
    }
    assertTrue(
        importedPieces().size() >= ROUNDS, "expected an import from a damaged read in each round");
    report(name, ROUNDS);
  }

  @Test
  public void recomputesObjectsFreedDuringRead() {
    for (int round = 0; round < ROUNDS; round++) {
      String prompt = storedPrompt();
      clearRunnerCache();
      storeFaults("{\"link_bytes_per_second\":2000}");
      CompletableFuture<HttpResponse<String>> answer =
          CompletableFuture.supplyAsync(() -> send(node, prompt));
      sleep(200 + random.nextInt(200));
      freeAllObjects();
      check(prompt, answer.join());
      storeFaults("{}");
    }
    assertTrue(
        importedPieces().stream().anyMatch(CacheProofTest::isDamaged),
        "expected a read of an object that was freed meanwhile");
    report("objects freed while a runner reads", ROUNDS);
  }

  @Test
  public void listsNoPartlyWrittenObject() {
    storeFaults("{\"partial_writes\":true}");
    for (int round = 0; round < ROUNDS; round++) {
      String prompt = prompt();
      complete(prompt);
      int expected = (round + 1) * PIECES;
      Awaitility.await().atMost(TIMEOUT).until(() -> partialWrites() >= expected);
      clearRunnerCache();
      assertEquals(cachedTokens(complete(prompt)), 0);
    }
    storeFaults("{}");
    awaitNoOrphans();
    report("store keeps half of an object", ROUNDS);
  }

  @Test
  public void recomputesAfterStoreIsKilledDuringWrite() {
    storeFaults("{\"link_bytes_per_second\":1000}");
    String prompt = prompt();
    complete(prompt);
    sleep(300 + random.nextInt(500));
    for (int i = 0; i < deployment.stores.size(); i++) {
      restartStore(i);
    }
    clearRunnerCache();
    complete(prompt);
    awaitStored(PIECES);
    clearRunnerCache();
    complete(prompt);
    report("store killed during a write", 1);
  }

  @Test
  public void recomputesPiecesRefusedByFullStore() {
    storeFaults("{\"is_disk_full\":true}");
    for (int round = 0; round < ROUNDS; round++) {
      String prompt = prompt();
      complete(prompt);
      int failed = (round + 1) * PIECES;
      awaitMetric("export.failed", failed);
      clearRunnerCache();
      assertEquals(cachedTokens(complete(prompt)), 0);
    }
    assertEquals(listedPieces().size(), 0);
    report("store full", ROUNDS);
  }

  @Test
  public void readsNoObjectWrittenAfterItsDeletion() {
    storeFaults("{\"write_delay_millis\":1500}");
    String prompt = prompt();
    complete(prompt);
    // The store closes the connection, so the nodes fail the write at once and delete the object
    // after its lease; the store does the write only later.
    Awaitility.await().atMost(TIMEOUT).until(() -> writes() >= PIECES);
    storeFaults("{}");
    clearRunnerCache();
    complete(prompt);
    awaitNoOrphans();
    clearRunnerCache();
    complete(prompt);
    report("write lands after the deletion", 1);
  }

  @Test
  public void recomputesPiecesEvictedAfterPlacement() {
    for (int round = 0; round < ROUNDS; round++) {
      String prompt = prompt();
      complete(prompt);
      runnerFaults("{\"evict_before_prefill\":true}");
      assertEquals(cachedTokens(complete(prompt)), 0);
      runnerFaults("{}");
    }
    report("runner evicts between decision and use", ROUNDS);
  }

  @Test
  public void unlistsPieceOneLeaseBeforeDeletion() {
    ObjectNode inventory = deployment.inventory();
    inventory.path("stores").forEach(s -> ((ObjectNode) s).put("capacity_bytes", SMALL_CAPACITY));
    ProcessHelper.ExitResult applied = deployment.apply(inventory);
    assertEquals(applied.exitCode(), 0, applied.output());
    List<String> prompts = new ArrayList<>();
    for (int round = 0; round < FILLING_ROUNDS; round++) {
      prompts.add(prompt());
      complete(prompts.getLast());
    }
    Awaitility.await().atMost(TIMEOUT).until(() -> !deletions().isEmpty());
    clearRunnerCache();
    prompts.forEach(this::complete);
    int early = (int) deletions().stream().filter(this::isDeletedEarly).count();
    Proof.report(
        GUARANTEE, "store runs out of room", FILLING_ROUNDS, requests, violations() + early);
  }

  private List<JsonNode> deletions() {
    return storeRecords().stream().filter(record -> record.has("deleted_object")).toList();
  }

  /**
   * Returns whether a listed object was deleted before one read lease had passed since it was
   * unlisted.
   */
  private boolean isDeletedEarly(JsonNode deletion) {
    String name = deletion.path("deleted_object").asText();
    List<JsonNode> about =
        storeRecords().stream().filter(r -> r.path("object_name").asText().equals(name)).toList();
    boolean wasListed = about.stream().anyMatch(record -> record.has("listed_piece"));
    boolean isLate =
        about.stream()
            .filter(record -> record.has("unlisted_piece"))
            .anyMatch(
                record -> recordedAtMillis(record) + LEASE_MILLIS <= recordedAtMillis(deletion));
    return wasListed && !isLate;
  }

  private static long recordedAtMillis(JsonNode record) {
    return record.path("at_millis").asLong();
  }

  @Test
  public void survivesLostStoreAnswers() {
    for (int round = 0; round < ROUNDS; round++) {
      String prompt = prompt();
      storeFaults(
          "{\"drop_answers\":" + (MIN_LOST_ANSWERS + random.nextInt(MIN_LOST_ANSWERS)) + "}");
      complete(prompt);
      clearRunnerCache();
      complete(prompt);
    }
    storeFaults("{}");
    awaitNoOrphans();
    report("answers lost after the effect", ROUNDS);
  }

  @Test
  public void sweepsObjectWithoutManifestAfterNodeIsKilled() {
    // The store does the write after the node is killed, so the node neither lists nor deletes the
    // object.
    storeFaults("{\"write_delay_millis\":1500}");
    String prompt = prompt();
    complete(prompt);
    awaitMetric("export.started", 1);
    sleep(200);
    deployment.nodes.remove(node);
    node.kill();
    node = deployment.nodes.getFirst();
    Awaitility.await().atMost(TIMEOUT).until(() -> writes() > 0);
    storeFaults("{}");
    awaitNoOrphans();
    clearRunnerCache();
    complete(prompt);
    report("node killed between object and manifest", 1);
  }

  @Test
  public void listsOneObjectForPieceExportedByTwoNodes() {
    for (int round = 0; round < ROUNDS; round++) {
      String prompt = prompt();
      List<CompletableFuture<HttpResponse<String>>> answers =
          deployment.nodes.stream()
              .map(each -> CompletableFuture.supplyAsync(() -> send(each, prompt)))
              .toList();
      answers.forEach(answer -> check(prompt, answer.join()));
      awaitStored((round + 1) * PIECES);
    }
    awaitNoOrphans();
    assertEquals(listedPieces().size(), ROUNDS * PIECES);
    report("two nodes export the same pieces", ROUNDS);
  }

  private String prompt() {
    StringBuilder text = new StringBuilder();
    while (text.length() < PIECES * PIECE_BYTES) {
      text.append("shed ").append(random.nextInt(1_000_000)).append(' ');
    }
    return text.toString();
  }

  /** Returns a prompt whose pieces are stored and in every node's index of the stores. */
  private String storedPrompt() {
    String prompt = prompt();
    final int before = listedPieces().size();
    complete(prompt);
    awaitStored(before + PIECES);
    return prompt;
  }

  private void awaitStored(int pieces) {
    for (ProcessHelper each : deployment.nodes) {
      Awaitility.await()
          .atMost(TIMEOUT)
          .until(() -> deployment.metric(each, "store.index_entries") >= pieces);
    }
  }

  private void awaitMetric(String name, int value) {
    Awaitility.await().atMost(TIMEOUT).until(() -> deployment.metric(node, name) >= value);
  }

  private void clearRunnerCache() {
    deployment.call(deployment.runners.getFirst(), "POST", "/cache/clear");
    for (ProcessHelper each : deployment.nodes) {
      Awaitility.await()
          .atMost(TIMEOUT)
          .until(() -> deployment.metric(each, "cache.index_entries") == 0);
    }
  }

  private JsonNode complete(String prompt) {
    return complete(node, prompt);
  }

  private JsonNode complete(ProcessHelper through, String prompt) {
    return check(prompt, send(through, prompt));
  }

  private HttpResponse<String> send(ProcessHelper through, String prompt) {
    return deployment.complete(through, prompt, ANSWER_TOKENS, false);
  }

  private JsonNode check(String prompt, HttpResponse<String> answer) {
    requests++;
    JsonNode body = Json.readTree(answer.body()).get();
    String text = body.at("/choices/0/text").asText();
    if (!text.equals(RunnerStandin.text(prompt, "v1", ANSWER_TOKENS))) {
      wrongAnswers++;
    }
    return body;
  }

  private static int cachedTokens(JsonNode body) {
    return body.at("/usage/prompt_tokens_details/cached_tokens").asInt(-1);
  }

  private void report(String failure, int rounds) {
    Proof.report(GUARANTEE, failure, rounds, requests, violations());
  }

  /** Counts wrong answers, used pieces with damaged bytes, and manifests of partial objects. */
  private int violations() {
    long damaged = usedPieces().stream().filter(CacheProofTest::isDamaged).count();
    Set<String> partial = new HashSet<>();
    Set<String> listed = new HashSet<>();
    for (JsonNode record : storeRecords()) {
      if (record.path("is_partial").asBoolean()) {
        partial.add(record.path("wrote_object").asText());
      }
      if (record.has("listed_piece")) {
        listed.add(record.path("object_name").asText());
      }
    }
    listed.retainAll(partial);
    return wrongAnswers + (int) damaged + listed.size();
  }

  private List<JsonNode> importedPieces() {
    return deployment.records(deployment.runners.getFirst()).stream()
        .filter(record -> record.has("imported_piece"))
        .toList();
  }

  private List<JsonNode> usedPieces() {
    return importedPieces().stream().filter(record -> record.path("is_used").asBoolean()).toList();
  }

  private static boolean isDamaged(JsonNode record) {
    return !record.path("digest").equals(record.path("true_digest"));
  }

  private List<JsonNode> storeRecords() {
    return deployment.stores.stream().flatMap(s -> deployment.records(s).stream()).toList();
  }

  private long partialWrites() {
    return storeRecords().stream().filter(r -> r.path("is_partial").asBoolean()).count();
  }

  private long writes() {
    return storeRecords().stream().filter(record -> record.has("wrote_object")).count();
  }

  private List<JsonNode> listedPieces() {
    return deployment.stores.stream().flatMap(s -> list(s, "manifests").stream()).toList();
  }

  private List<JsonNode> list(ProcessHelper store, String what) {
    String body = deployment.call(store, "GET", "/" + what + "?limit=10000").body();
    List<JsonNode> items = new ArrayList<>();
    Json.readTree(body).get().path(what).forEach(items::add);
    return items;
  }

  private void awaitNoOrphans() {
    Awaitility.await().atMost(TIMEOUT).until(() -> objectNames().equals(listedObjects()));
  }

  private Set<String> objectNames() {
    Set<String> names = new HashSet<>();
    deployment.stores.forEach(
        store -> list(store, "objects").forEach(object -> names.add(object.path("name").asText())));
    return names;
  }

  private Set<String> listedObjects() {
    Set<String> names = new HashSet<>();
    listedPieces().forEach(manifest -> names.add(manifest.path("object_name").asText()));
    return names;
  }

  private void freeAllObjects() {
    for (ProcessHelper store : deployment.stores) {
      list(store, "objects")
          .forEach(
              object ->
                  deployment.call(store, "DELETE", "/objects/" + object.path("name").asText()));
    }
  }

  private void restartStore(int index) {
    ProcessHelper store = deployment.stores.get(index);
    store.kill();
    ProcessHelper again = deployment.startStandin("store", "--port=" + store.port("port"));
    deployment.stores.set(index, again);
  }

  private void storeFaults(String json) {
    deployment.stores.forEach(store -> deployment.setFaults(store, json));
  }

  private void runnerFaults(String json) {
    deployment.setFaults(deployment.runners.getFirst(), json);
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
