package org.dragonflyhill.proofs;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests that weight orders leave every runner with the weight version of the configuration. */
public final class OrderProofTest {

  private static final String GUARANTEE = "orders end as the configuration says";
  private static final int RUNNERS = 4;
  private static final int MAX_LOADS_AT_ONCE = 2;

  /** Several times the duration of a lease, the delay of a lower-ranked node and the loads. */
  private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(60);

  private Deployment deployment;
  private ProcessHelper weightStore;

  /** Starts two nodes, a weight store and runners, the last of which ignores fencing tokens. */
  @BeforeClass
  public void start() {
    deployment = new Deployment(0);
    weightStore = deployment.startStandin("weight-store");
    for (int i = 0; i < RUNNERS; i++) {
      deployment.runners.add(
          deployment.startStandin("runner", "--weight-store=" + weightStore.address("port")));
    }
    deployment.setFaults(deployment.runners.getLast(), "{\"ignore_fencing\": true}");
    apply("v1");
    deployment.startNode("node-a");
    deployment.startNode("node-b");
  }

  /** Stops all processes. */
  @AfterClass(alwaysRun = true)
  public void stop() {
    deployment.close();
  }

  @Test
  public void weightsFollowTheConfiguration() {
    apply("v2");
    awaitWeights("v2");
    int violations = countExcessLoads();
    Proof.report(GUARANTEE, "new weight version", 1, 0, violations);
  }

  @Test
  public void lostAnswersAreReadBack() {
    for (ProcessHelper runner : deployment.runners) {
      deployment.setFaults(runner, "{\"drop_answers\": 3}");
    }
    apply("v3");
    awaitWeights("v3");
    int violations = countExcessLoads();
    for (ProcessHelper runner : deployment.runners) {
      deployment.setFaults(runner, "{}");
    }
    deployment.setFaults(deployment.runners.getLast(), "{\"ignore_fencing\": true}");
    Proof.report(GUARANTEE, "order answers lost", 1, 0, violations);
  }

  @Test
  public void frozenLeaseHolderIsReplacedAndFenced() {
    int violations = 0;
    for (int round = 0; round < 2; round++) {
      awaitWeights(currentVersion());
      ProcessHelper holder = leaseHolder();
      holder.freeze();
      String version = "v1" + round;
      apply(version);
      awaitWeights(version);
      holder.resume();
      deployment.awaitReady(holder);
      violations += countOrdersWithStaleTokens();
      awaitWeights(version);
    }
    violations += countExcessLoads();
    Proof.report(GUARANTEE, "lease holder frozen past its lease and resumed", 2, 0, violations);
  }

  private void apply(String version) {
    ObjectNode inventory = deployment.inventory();
    ((ObjectNode) inventory.path("models").get(0)).put("weight_version", version);
    ((ObjectNode) inventory.path("runners").get(RUNNERS - 1)).put("checks_fencing", false);
    ProcessHelper.ExitResult applied = deployment.apply(inventory);
    assertEquals(applied.exitCode(), 0, applied.output());
  }

  private String currentVersion() {
    JsonNode last = deployment.logRecords("configuration").getLast();
    for (JsonNode object : last.at("/change/upserts")) {
      if (object.path("kind").asText().equals("model")) {
        return object.path("weight_version").asText();
      }
    }
    throw new IllegalStateException("the last change names no model: " + last);
  }

  private void awaitWeights(String version) {
    Awaitility.await()
        .atMost(CONVERGENCE_TIMEOUT)
        .until(() -> loadedVersions().stream().allMatch(version::equals));
  }

  private List<String> loadedVersions() {
    List<String> versions = new ArrayList<>();
    for (ProcessHelper runner : deployment.runners) {
      String last = "";
      for (JsonNode record : orderRecords(runner)) {
        if (record.path("event").asText().equals("loaded")) {
          last = record.at("/weights/weight_version").asText();
        }
      }
      versions.add(last);
    }
    return versions;
  }

  private List<JsonNode> orderRecords(ProcessHelper runner) {
    return deployment.records(runner).stream().filter(record -> record.has("event")).toList();
  }

  /** Returns the node that holds the lease according to the log's records. */
  private ProcessHelper leaseHolder() {
    long last = -1;
    String holder = "";
    for (JsonNode record : deployment.logRecords("leases")) {
      if (record.path("base_offset").asLong() == last) {
        last = record.path("offset").asLong();
        holder = record.path("holder").asText();
      }
    }
    return deployment.nodes.get(holder.startsWith("node-a/") ? 0 : 1);
  }

  private int countExcessLoads() {
    return (int)
        deployment.records(weightStore).stream()
            .filter(record -> record.path("loads_at_once").asInt() > MAX_LOADS_AT_ONCE)
            .count();
  }

  /** Counts orders that a runner took with a fencing token below the highest it had seen. */
  private int countOrdersWithStaleTokens() {
    int count = 0;
    for (ProcessHelper runner : deployment.runners) {
      long highest = -1;
      for (JsonNode record : orderRecords(runner)) {
        long token = record.path("fencing_token").asLong();
        boolean isTaken = record.path("event").asText().equals("taken");
        count += isTaken && token < highest ? 1 : 0;
        highest = Math.max(highest, token);
      }
    }
    return count;
  }
}
