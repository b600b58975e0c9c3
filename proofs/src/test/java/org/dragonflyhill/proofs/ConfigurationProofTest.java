package org.dragonflyhill.proofs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.net.URI;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.awaitility.Awaitility;
import org.dragonflyhill.core.ChangeRecord;
import org.dragonflyhill.core.ConfigurationObject;
import org.dragonflyhill.core.ConfigurationState;
import org.dragonflyhill.daemon.AdminApi;
import org.dragonflyhill.ports.ChangeOutcome;
import org.dragonflyhill.ports.ConfigurationLog;
import org.dragonflyhill.ports.ConfigurationRecord;
import org.dragonflyhill.ports.HttpCaller;
import org.dragonflyhill.ports.HttpLogClient;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.ports.SerializedState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests with separate processes that every node adopts an accepted configuration and never reverts
 * to an older one. The expected configuration is read from the stream of the log stand-in.
 */
public final class ConfigurationProofTest {

  private static final String GUARANTEE = "9 accepted configuration in force and never reverted";
  private static final Duration ACTIVATION_TIMEOUT = Duration.ofSeconds(15);
  private static final Duration LOG_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration LOG_READ_TIMEOUT = Duration.ofSeconds(30);
  private static final int RACES = 10;
  private static final String RECORDS_PATH = "/streams/configuration/records?from=0&limit=100000";

  private Deployment deployment;
  private HttpCaller caller;
  private VersionSampler sampler;

  /** Starts the stand-ins and applies the inventory. */
  @BeforeMethod
  public void start() {
    deployment = new Deployment(0);
    assertEquals(deployment.apply().exitCode(), 0);
    caller = deployment.closer.add(new HttpCaller("proof", 8, LOG_TIMEOUT));
    sampler = deployment.closer.add(new VersionSampler(deployment));
  }

  /** Stops all processes. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    deployment.close();
  }

  private ConfigurationLog configurationLog() {
    return new ConfigurationLog(
        new HttpLogClient(caller, deployment.log.address("port"), LOG_TIMEOUT));
  }

  private ProcessHelper startNodes(int count) {
    for (int i = 0; i < count; i++) {
      deployment.startNode("node-" + (char) ('a' + i));
    }
    listNodes();
    return deployment.nodes.getFirst();
  }

  private void listNodes() {
    ObjectNode listing = Json.mapper().createObjectNode();
    var hosts = listing.putArray("hosts");
    for (int i = 0; i < deployment.nodes.size(); i++) {
      hosts
          .addObject()
          .put("name", "node-" + (char) ('a' + i))
          .put("role", "NODE")
          .put("address", deployment.nodes.get(i).address("peer_port"))
          .put("state", "LIVE");
    }
    send(deployment.hostList, "/hosts", "PUT", listing.toString());
  }

  private String send(ProcessHelper standin, String path, String method, String body) {
    URI uri = URI.create("http://" + standin.address("port") + path);
    return deployment
        .send(
            HttpRequest.newBuilder(uri)
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build())
        .body();
  }

  private static ChangeRecord zoneChange(
      ConfigurationState state, String changeId, String name, String region) {
    var zone = new ConfigurationObject.AvailabilityZone(name, region);
    var base = new ChangeRecord.Base(zone.key(), state.offsetOf(zone.key()));
    return new ChangeRecord(changeId, changeId, List.of(base), List.of(zone), List.of());
  }

  /** Reads the log; a read that times out on a busy machine says nothing about the nodes. */
  private ConfigurationState readConfiguration() {
    return Awaitility.await()
        .atMost(LOG_READ_TIMEOUT)
        .pollInterval(Duration.ofMillis(100))
        .until(() -> configurationLog().read().block(), Either::isRight)
        .get();
  }

  private ChangeOutcome submit(String changeId, String name, String region) {
    ConfigurationState state = readConfiguration();
    return configurationLog().submit(state, zoneChange(state, changeId, name, region)).block();
  }

  private long submitAccepted(String changeId, String name, String region) {
    ChangeOutcome outcome = submit(changeId, name, region);
    assertTrue(outcome instanceof ChangeOutcome.Accepted, outcome.toString());
    return ((ChangeOutcome.Accepted) outcome).offset();
  }

  private void awaitVersion(ProcessHelper node, long version) {
    Awaitility.await()
        .atMost(ACTIVATION_TIMEOUT)
        .pollInterval(Duration.ofMillis(20))
        .until(() -> sampler.sampleVersion(node) >= version);
  }

  private void awaitVersion(long version) {
    deployment.nodes.forEach(node -> awaitVersion(node, version));
  }

  /** Returns the number of nodes whose configuration differs from the one in the log's stream. */
  private int differingNodes() {
    ConfigurationState wanted = readConfiguration();
    List<ConfigurationObject> objects =
        wanted.objects().values().stream().map(each -> each.object()).toList();
    String text = Json.write(new AdminApi.Configuration(wanted.version(), objects));
    JsonNode expected = Json.readTree(text).get();
    int differing = 0;
    for (ProcessHelper node : deployment.nodes) {
      differing += sampler.configuration(node).equals(expected) ? 0 : 1;
    }
    return differing;
  }

  private void report(String failure, int rounds, int requests, int violations) {
    Proof.report(GUARANTEE, failure, rounds, requests, violations + sampler.reversions());
  }

  @Test
  public void acceptsOneOfTwoConcurrentChangesToOneObject() {
    startNodes(2);
    int violations = 0;
    for (int race = 0; race < RACES; race++) {
      ConfigurationState state = readConfiguration();
      ChangeRecord first = zoneChange(state, "first-" + race, "melipilla", "one-" + race);
      ChangeRecord second = zoneChange(state, "second-" + race, "melipilla", "two-" + race);
      var other =
          CompletableFuture.supplyAsync(() -> configurationLog().submit(state, first).block());
      List<ChangeOutcome> outcomes =
          List.of(configurationLog().submit(state, second).block(), other.join());
      violations += countAccepted(outcomes) == 1 ? 0 : 1;
    }
    awaitVersion(readConfiguration().version());
    report("two operators race on one object", RACES, 2 * RACES, violations + differingNodes());
  }

  @Test
  public void acceptsConcurrentChangesToDifferentObjects() {
    startNodes(2);
    int violations = 0;
    for (int race = 0; race < RACES; race++) {
      ConfigurationState state = readConfiguration();
      ChangeRecord first = zoneChange(state, "first-" + race, "melipilla", "one-" + race);
      ChangeRecord second = zoneChange(state, "second-" + race, "san-fernando", "two-" + race);
      var other =
          CompletableFuture.supplyAsync(() -> configurationLog().submit(state, first).block());
      List<ChangeOutcome> outcomes =
          List.of(configurationLog().submit(state, second).block(), other.join());
      violations += countAccepted(outcomes) == 2 ? 0 : 1;
    }
    awaitVersion(readConfiguration().version());
    report(
        "two operators race on different objects", RACES, 2 * RACES, violations + differingNodes());
  }

  private static long countAccepted(List<ChangeOutcome> outcomes) {
    return outcomes.stream().filter(ChangeOutcome.Accepted.class::isInstance).count();
  }

  @Test
  public void reportsAcceptanceWhenAppendAnswerIsLost() {
    startNodes(2);
    Random random = Proof.random("lost append answer");
    int violations = 0;
    for (int round = 0; round < RACES; round++) {
      ConfigurationState state = readConfiguration();
      ChangeRecord change = zoneChange(state, "c-" + round, "melipilla", "r-" + round);
      // Drops the answer to the append and in some rounds also those to the reads that follow.
      int drops = 1 + random.nextInt(3);
      deployment.setFaults(deployment.log, "{\"drop_answers\":" + drops + "}");
      ChangeOutcome outcome = configurationLog().submit(state, change).block();
      deployment.setFaults(deployment.log, "{}");
      violations += outcome instanceof ChangeOutcome.Accepted ? 0 : 1;
      violations += countRecords(change.changeId()) == 1 ? 0 : 1;
    }
    awaitVersion(readConfiguration().version());
    report("append answer lost", RACES, RACES, violations + differingNodes());
  }

  private long countRecords(String changeId) {
    String stream = send(deployment.log, RECORDS_PATH + "&wait_millis=0", "GET", "");
    long count = 0;
    for (JsonNode record : Json.readTree(stream).get().path("records")) {
      JsonNode value = Json.readTree(record.path("value").asText()).get();
      count += value.path("change").path("change_id").asText().equals(changeId) ? 1 : 0;
    }
    return count;
  }

  @Test
  public void startsColdNodeFromPeerWhileLogRefuses() {
    startNodes(2);
    final long version = submitAccepted("c-1", "melipilla", "new");
    awaitVersion(deployment.nodes.getFirst(), version);
    deployment.setFaults(deployment.log, "{\"refuse\":-1}");
    awaitColdNode(version, "log refuses");
  }

  @Test
  public void startsColdNodeFromPeerWhileLogIsFrozen() {
    startNodes(2);
    final long version = submitAccepted("c-1", "melipilla", "new");
    awaitVersion(deployment.nodes.getFirst(), version);
    deployment.log.freeze();
    awaitColdNode(version, "log frozen");
    deployment.log.resume();
  }

  private void awaitColdNode(long version, String failure) {
    final long start = System.nanoTime();
    ProcessHelper cold = deployment.startNodeWithoutWaiting("node-c");
    listNodes();
    awaitVersion(cold, version);
    deployment.awaitReady(cold);
    Duration taken = Duration.ofNanos(System.nanoTime() - start);
    System.out.printf("MEASURE cold node, %s: %d ms%n", failure, taken.toMillis());
    int behind = 0;
    for (ProcessHelper node : deployment.nodes) {
      awaitVersion(node, version);
      behind += sampler.sampleVersion(node) == version ? 0 : 1;
    }
    report("cold node during outage, " + failure, 1, 1, behind);
  }

  @Test
  public void bringsFrozenNodeToTheAcceptedVersion() {
    startNodes(3);
    ProcessHelper frozen = deployment.nodes.get(1);
    frozen.freeze();
    long version = submitAccepted("c-1", "melipilla", "new");
    version = submitAccepted("c-2", "melipilla", "newer");
    awaitVersion(deployment.nodes.getFirst(), version);
    frozen.resume();
    awaitVersion(version);
    report("node frozen and resumed", 1, 2, differingNodes());
  }

  @Test
  public void bringsNodeResumedDuringLogOutageToTheAcceptedVersion() {
    startNodes(3);
    ProcessHelper frozen = deployment.nodes.get(1);
    frozen.freeze();
    final long version = submitAccepted("c-1", "melipilla", "new");
    awaitVersion(deployment.nodes.getFirst(), version);
    deployment.setFaults(deployment.log, "{\"refuse\":-1}");
    frozen.resume();
    awaitVersion(version);
    deployment.setFaults(deployment.log, "{}");
    report("node resumed during log outage", 1, 1, differingNodes());
  }

  @Test
  public void startsFromSnapshotAfterRecordsExpired() {
    deployment.startNode("node-a", "--snapshot-age-millis=1000");
    submitAccepted("c-1", "melipilla", "new");
    Awaitility.await().atMost(ACTIVATION_TIMEOUT).until(() -> snapshotOffset() > 0);
    submitAccepted("c-2", "san-fernando", "newest");
    // The only node is killed, because a new node with a peer would not need the snapshot.
    expireRecords(snapshotOffset());
    deployment.nodes.getFirst().kill();
    deployment.nodes.clear();
    sampler.clear();
    deployment.startNode("node-b");
    awaitVersion(readConfiguration().version());
    report("records expired, snapshot kept", 1, 2, differingNodes());
  }

  @Test
  public void replacesExpiredRecordsBySnapshot() {
    startNodes(2);
    final long version = submitAccepted("c-1", "melipilla", "new");
    awaitVersion(version);
    expireRecords(version + 1);
    Awaitility.await().atMost(ACTIVATION_TIMEOUT).until(() -> snapshotOffset() > 0);
    deployment.startNode("node-c");
    awaitVersion(version);
    report("records expired without snapshot, nodes live", 1, 1, differingNodes());
  }

  @Test
  public void refusesDamagedAndOldSnapshots() {
    final ProcessHelper node = startNodes(1);
    final ConfigurationState old = readConfiguration();
    final long version = submitAccepted("c-1", "melipilla", "new");
    awaitVersion(version);
    SerializedState intact = SerializedState.of(readConfiguration());
    var damaged =
        new ConfigurationRecord.Snapshot(
            1, version + 100, intact.text().replace("melipilla", "elsewhere"), intact.digest());
    appendRecord(Json.write(SerializedState.of(old).toSnapshotRecord()));
    appendRecord(Json.write(damaged));
    final long after = submitAccepted("c-2", "san-fernando", "newest");
    awaitVersion(after);
    final int differing = differingNodes();
    // A running node would write a new snapshot as soon as records expire.
    node.freeze();
    expireRecords(version + 1);
    ProcessHelper cold = deployment.startNodeWithoutWaiting("node-b");
    // The host list does not name the new node yet, so it has only the log and must not serve the
    // configuration of the damaged or the old snapshot.
    Awaitility.await()
        .atMost(ACTIVATION_TIMEOUT)
        .until(() -> sampler.status(cold).path("configuration_problem").isTextual());
    final int served =
        sampler.sampleVersion(cold) == -1 || sampler.sampleVersion(cold) >= after ? 0 : 1;
    node.resume();
    listNodes();
    awaitVersion(cold, after);
    Awaitility.await()
        .atMost(ACTIVATION_TIMEOUT)
        .until(() -> configurationLog().read().block().isRight());
    report("damaged and old snapshot", 1, 2, differing + served + differingNodes());
  }

  private void appendRecord(String record) {
    send(
        deployment.log,
        "/streams/configuration/records",
        "POST",
        Json.write(new HttpLogClient.AppendRequest(List.of(record))));
  }

  private void expireRecords(long before) {
    send(deployment.log, "/streams/configuration/expire?before=" + before, "POST", "");
  }

  private long snapshotOffset() {
    String stream = send(deployment.log, RECORDS_PATH + "&wait_millis=0", "GET", "");
    long offset = -1;
    for (JsonNode record : Json.readTree(stream).get().path("records")) {
      JsonNode value = Json.readTree(record.path("value").asText()).get();
      boolean isSnapshot = value.path("type").asText().equals("snapshot");
      offset = isSnapshot ? record.path("offset").asLong() : offset;
    }
    return offset;
  }

  @Test
  public void reportsConfigurationVersionOfEachNode() {
    ProcessHelper node = startNodes(3);
    long version = submitAccepted("c-1", "melipilla", "new");
    Awaitility.await()
        .atMost(ACTIVATION_TIMEOUT)
        .until(() -> sampler.countNodesAtVersion(node, version) == deployment.nodes.size());
    report("none, every node is named with its version", 1, 1, 0);
  }

  @Test
  public void measuresActivationTime() {
    startNodes(4);
    List<Long> millis = new ArrayList<>();
    for (int round = 0; round < RACES; round++) {
      long version = submitAccepted("c-" + round, "melipilla", "r-" + round);
      long start = System.nanoTime();
      awaitVersion(version);
      millis.add(Duration.ofNanos(System.nanoTime() - start).toMillis());
    }
    System.out.println("MEASURE in force on 4 nodes after acceptance, ms: " + millis);
    report("none, time until in force", RACES, RACES, differingNodes());
  }
}
