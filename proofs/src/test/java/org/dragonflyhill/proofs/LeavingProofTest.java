package org.dragonflyhill.proofs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpRequest;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.dragonflyhill.ports.Json;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a runner gets no new work within 3 s of the first signal that it is leaving. */
public final class LeavingProofTest {

  private static final String GUARANTEE = "7 leaving endpoint gets no new work within 3 s";
  private static final long MAX_DELAY_MILLIS = 3_000;
  private static final long OBSERVATION_MILLIS = 4_000;
  private static final int CALLERS = 6;

  /** Enough tokens that answers are being generated when the leaving signal is sent. */
  private static final int ANSWER_TOKENS = 150;

  private Deployment deployment;
  private ProcessHelper node;
  private ProcessHelper leaving;
  private LoadGenerator load;

  /** Starts two runners, a node and a load that keeps both runners busy. */
  @BeforeMethod
  public void start() {
    deployment = new Deployment(2);
    assertEquals(deployment.apply().exitCode(), 0);
    node = deployment.startNode("node-a");
    leaving = deployment.runners.getFirst();
    deployment.runners.forEach(
        runner -> deployment.setFaults(runner, "{\"token_delay_millis\":3}"));
    long seed = Proof.random("LeavingProofTest").nextLong();
    load =
        new LoadGenerator(
            deployment, node, CALLERS, ANSWER_TOKENS, seed, LoadGenerator.OnRefusal.RETRY);
    load.awaitCompleted(2 * CALLERS);
    assertTrue(
        !deployment.records(leaving).isEmpty(), "the runner had no work before the leaving signal");
  }

  /** Stops all processes. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    load.close();
    deployment.close();
  }

  @Test
  public void hostListReportsLeaving() {
    long signalMillis = System.currentTimeMillis();
    putHosts(
        "[{\"name\":\"runner-0\",\"role\":\"RUNNER\",\"address\":\"x:1\",\"state\":\"LEAVING\"}]");
    report("the host list says leaving", signalMillis);
  }

  @Test
  public void configurationSetsDraining() throws Exception {
    ObjectNode inventory = deployment.inventory();
    ((ObjectNode) ((ArrayNode) inventory.get("runners")).get(0))
        .put("administrative_state", "DRAINING");
    Path file = Files.createTempFile("inventory-", ".json");
    file.toFile().deleteOnExit();
    Files.writeString(file, inventory.toString());
    ProcessHelper.ExitResult applied =
        ProcessHelper.run(
            org.dragonflyhill.cli.Main.class,
            List.of("apply", file.toString(), "--log", deployment.log.address("port")));
    long signalMillis = System.currentTimeMillis();
    assertEquals(applied.exitCode(), 0, applied.output());
    report("the configuration says draining", signalMillis);
  }

  @Test
  public void runnerReportsLeavingBeforeHostList() {
    putHosts(
        "[{\"name\":\"runner-0\",\"role\":\"RUNNER\",\"address\":\"x:1\",\"state\":\"LIVE\"}]");
    long signalMillis = System.currentTimeMillis();
    deployment.setFaults(leaving, "{\"token_delay_millis\":3,\"reports_leaving\":true}");
    report("the runner's load report says leaving, the host list lags", signalMillis);
  }

  @Test
  public void runnerRefusesWorkBeforeAnyOtherLeavingSignal() {
    long signalMillis = System.currentTimeMillis();
    deployment.setFaults(leaving, "{\"token_delay_millis\":3,\"refuses_leaving\":true}");
    report("the runner refuses because it leaves, nothing else says so", signalMillis);
  }

  private void putHosts(String hosts) {
    deployment.send(
        HttpRequest.newBuilder(
                URI.create("http://" + deployment.hostList.address("port") + "/hosts"))
            .PUT(HttpRequest.BodyPublishers.ofString("{\"hosts\":" + hosts + "}"))
            .build());
  }

  /**
   * Keeps up the load past the allowed delay, then counts late work in the runner's records,
   * incomplete answers and refusals.
   */
  private void report(String failure, long signalMillis) {
    org.awaitility.Awaitility.await()
        .atMost(java.time.Duration.ofSeconds(60))
        .until(
            () ->
                System.currentTimeMillis() > signalMillis + MAX_DELAY_MILLIS + OBSERVATION_MILLIS);
    load.close();
    List<Long> starts =
        deployment.records(leaving).stream()
            .map(record -> record.path("at_millis"))
            .filter(com.fasterxml.jackson.databind.JsonNode::isNumber)
            .map(com.fasterxml.jackson.databind.JsonNode::asLong)
            .toList();
    long late = starts.stream().filter(at -> at > signalMillis + MAX_DELAY_MILLIS).count();
    long last = starts.stream().mapToLong(at -> at - signalMillis).max().orElse(0);
    System.out.println(
        "last work began "
            + last
            + " ms after the leaving signal; incomplete answers: "
            + load.incomplete());
    int violations = Math.toIntExact(late) + load.incomplete().size() + load.refused().size();
    Proof.report(GUARANTEE, failure, 1, load.requests(), violations);
    assertTrue(Json.write(starts).length() > 2);
  }
}
