package org.dragonflyhill.proofs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.dragonflyhill.ports.Closer;
import org.dragonflyhill.ports.Json;

/** Stand-ins and nodes that run as separate processes on the loopback interface. */
final class Deployment implements AutoCloseable {

  /** Bearer key of the organisation "granja". */
  static final String GRANJA_KEY = "granja-key";

  /** Bearer key of the organisation "otra". */
  static final String OTRA_KEY = "otra-key";

  private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
  private static final String SECRET = "a-secret-for-tests-only";

  final Closer closer = new Closer();
  final ProcessHelper log;
  final ProcessHelper hostList;
  final ProcessHelper service;
  final List<ProcessHelper> runners = new ArrayList<>();
  final List<ProcessHelper> nodes = new ArrayList<>();
  final List<ProcessHelper> stores = new ArrayList<>();
  private final HttpClient client = HttpClient.newHttpClient();

  /** Starts the log, the host list, a service and the runners. */
  Deployment(int runnerCount) {
    List<String> kinds = new ArrayList<>(List.of("log", "host-list", "service"));
    kinds.addAll(Collections.nCopies(runnerCount, "runner"));
    // Each JVM takes 1 to 2 seconds to start, so the stand-ins start in parallel.
    List<ProcessHelper> started = kinds.parallelStream().map(kind -> startStandin(kind)).toList();
    log = started.get(0);
    hostList = started.get(1);
    service = started.get(2);
    runners.addAll(started.subList(3, started.size()));
  }

  ProcessHelper startStandin(String kind, String... flags) {
    List<String> args = new ArrayList<>(List.of(kind));
    args.addAll(Arrays.asList(flags));
    return closer.add(ProcessHelper.start(org.dragonflyhill.standins.Main.class, args));
  }

  /** Starts a node and waits until it is ready. */
  ProcessHelper startNode(String name, String... flags) {
    ProcessHelper node = startNodeWithoutWaiting(name, flags);
    awaitReady(node);
    return node;
  }

  /** Starts a node without waiting until it is ready. */
  ProcessHelper startNodeWithoutWaiting(String name, String... flags) {
    List<String> args =
        new ArrayList<>(
            List.of(
                "--node=" + name,
                "--zone=rancagua",
                "--http-port=0",
                "--admin-port=0",
                "--peer-port=0",
                "--log=" + log.address("port"),
                "--host-list=" + hostList.address("port"),
                "--secret=" + SECRET,
                "--balancer-delay-millis=200"));
    args.addAll(Arrays.asList(flags));
    ProcessHelper node = closer.add(ProcessHelper.start(org.dragonflyhill.daemon.Main.class, args));
    nodes.add(node);
    return node;
  }

  void awaitReady(ProcessHelper node) {
    org.awaitility.Awaitility.await()
        .atMost(READY_TIMEOUT)
        .until(() -> get(node, "/readyz").statusCode() == 200);
  }

  /** Applies {@link #inventory()} with the command-line tool. */
  ProcessHelper.ExitResult apply() {
    return apply(inventory());
  }

  /** Applies an inventory with the command-line tool. */
  ProcessHelper.ExitResult apply(ObjectNode inventory) {
    try {
      Path file = Files.createTempFile("inventory-", ".json");
      file.toFile().deleteOnExit();
      Files.writeString(file, inventory.toString());
      return ProcessHelper.run(
          org.dragonflyhill.cli.Main.class,
          List.of(
              "apply", file.toString(), "--log", log.address("port"), "--timeout-seconds", "60"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns a new copy of the inventory, which a test may modify and then apply. */
  ObjectNode inventory() {
    ObjectNode root = Json.mapper().createObjectNode();
    root.putArray("availability_zones")
        .addObject()
        .put("name", "rancagua")
        .put("region", "zona-central");
    ArrayNode organisations = root.putArray("organisations");
    addOrganisation(organisations, "granja", GRANJA_KEY);
    addOrganisation(organisations, "otra", OTRA_KEY);
    root.putArray("models")
        .addObject()
        .put("name", "m1")
        .put("weight_version", "v1")
        .put("prefill_tokens_per_second", 20_000)
        .put("cache_bytes_per_token", 1_000);
    ArrayNode list = root.putArray("runners");
    for (int i = 0; i < runners.size(); i++) {
      list.addObject()
          .put("name", "runner-" + i)
          .put("availability_zone", "rancagua")
          .put("address", runners.get(i).address("port"))
          .put("model", "m1")
          .put("slots", 8)
          .put("cache_tokens", 64_000)
          .put("link_bytes_per_second", 1_000_000_000)
          .put("checks_fencing", true)
          .put("administrative_state", "ACTIVE");
    }
    ObjectNode dispatch =
        root.putArray("services")
            .addObject()
            .put("name", "dispatch")
            .put("availability_zone", "rancagua")
            .put("address", service.address("port"))
            .put("administrative_state", "ACTIVE");
    ArrayNode operations = dispatch.putArray("operations");
    operations.addObject().put("name", "send").put("repeatable", false);
    operations.addObject().put("name", "state").put("repeatable", true);
    addStores(root);
    return root;
  }

  private static void addOrganisation(ArrayNode list, String name, String key) {
    ObjectNode organisation =
        list.addObject().put("name", name).put("share", 1).put("tokens_per_minute", 100_000_000);
    organisation.putArray("key_hashes").add(sha256(key));
  }

  static String sha256(String text) {
    try {
      return java.util.HexFormat.of()
          .formatHex(
              java.security.MessageDigest.getInstance("SHA-256")
                  .digest(text.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    } catch (java.security.NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Calls an operation of the service "dispatch" as the organisation "granja". */
  HttpResponse<String> dispatch(ProcessHelper node, String operation, String key, String body) {
    return send(
        request(node, "/v1/services/dispatch/" + operation, GRANJA_KEY)
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build());
  }

  /** Sends a completion request of the organisation "granja" and returns the answer. */
  HttpResponse<String> complete(ProcessHelper node, String prompt, int maxTokens, boolean stream) {
    String body =
        Json.mapper()
            .createObjectNode()
            .put("model", "m1")
            .put("prompt", prompt)
            .put("max_tokens", maxTokens)
            .put("stream", stream)
            .toString();
    return send(
        request(node, "/v1/completions", GRANJA_KEY)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build());
  }

  HttpResponse<String> get(ProcessHelper node, String path) {
    return send(request(node, path, GRANJA_KEY).build());
  }

  HttpRequest.Builder request(ProcessHelper node, String path, String key) {
    return HttpRequest.newBuilder(URI.create("http://" + node.address("http_port") + path))
        .timeout(Duration.ofSeconds(60))
        .header("Authorization", "Bearer " + key);
  }

  HttpResponse<String> send(HttpRequest request) {
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Replaces the active faults of a stand-in. */
  void setFaults(ProcessHelper standin, String json) {
    HttpResponse<String> answer =
        send(
            HttpRequest.newBuilder(
                    URI.create("http://" + standin.address("admin_port") + "/faults"))
                .POST(HttpRequest.BodyPublishers.ofString(json))
                .build());
    if (answer.statusCode() != 200) {
      throw new IllegalStateException(answer.body());
    }
  }

  /** Returns the records of what a stand-in has done. */
  List<JsonNode> records(ProcessHelper standin) {
    String body =
        send(HttpRequest.newBuilder(
                    URI.create("http://" + standin.address("admin_port") + "/records"))
                .build())
            .body();
    return body.lines().map(line -> Json.readTree(line).get()).toList();
  }

  /** Sets the host list to the first nodes started, with the given names and the state LIVE. */
  void listNodes(String... names) {
    ObjectNode listing = Json.mapper().createObjectNode();
    ArrayNode hosts = listing.putArray("hosts");
    for (int i = 0; i < names.length; i++) {
      hosts
          .addObject()
          .put("name", names[i])
          .put("role", "NODE")
          .put("address", nodes.get(i).address("peer_port"))
          .put("state", "LIVE");
    }
    HttpResponse<String> answer =
        send(
            HttpRequest.newBuilder(URI.create("http://" + hostList.address("port") + "/hosts"))
                .PUT(HttpRequest.BodyPublishers.ofString(listing.toString()))
                .build());
    if (answer.statusCode() != 200) {
      throw new IllegalStateException(answer.body());
    }
  }

  /** Returns the records of a log stream, each with its offset as the field "offset". */
  List<JsonNode> logRecords(String stream) {
    String path = "/streams/" + stream + "/records?from=0&limit=100000&wait_millis=0";
    String body =
        send(HttpRequest.newBuilder(URI.create("http://" + log.address("port") + path)).build())
            .body();
    List<JsonNode> values = new ArrayList<>();
    for (JsonNode record : Json.readTree(body).get().path("records")) {
      ObjectNode value = (ObjectNode) Json.readTree(record.path("value").asText()).get();
      values.add(value.put("offset", record.path("offset").asLong()));
    }
    return values;
  }

  /** Returns the HTTP client, for requests whose failure a test handles itself. */
  HttpClient client() {
    return client;
  }

  /** Starts stores and adds them to the inventory. */
  void startStores(int count) {
    stores.addAll(
        Collections.nCopies(count, "store").parallelStream()
            .map(kind -> startStandin(kind))
            .toList());
  }

  private void addStores(ObjectNode inventory) {
    ArrayNode list = inventory.putArray("stores");
    for (int i = 0; i < stores.size(); i++) {
      list.addObject()
          .put("name", "store-" + i)
          .put("availability_zone", "rancagua")
          .put("address", stores.get(i).address("port"))
          .put("capacity_bytes", 1_000_000_000)
          .put("link_bytes_per_second", 1_000_000_000)
          .put("administrative_state", "ACTIVE");
    }
  }

  /** Sends a completion request with an organisation's bearer key and returns the answer. */
  HttpResponse<String> completeAs(ProcessHelper node, String key, String prompt, int maxTokens) {
    String body =
        Json.mapper()
            .createObjectNode()
            .put("model", "m1")
            .put("prompt", prompt)
            .put("max_tokens", maxTokens)
            .toString();
    return send(
        request(node, "/v1/completions", key)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build());
  }

  /** Sends a request directly to a stand-in and returns the answer. */
  HttpResponse<String> call(ProcessHelper standin, String method, String path) {
    return send(
        HttpRequest.newBuilder(URI.create("http://" + standin.address("port") + path))
            .method(method, HttpRequest.BodyPublishers.noBody())
            .build());
  }

  /** Returns the value of a counter or gauge of a node, or 0 if there is no such metric. */
  long metric(ProcessHelper node, String name) {
    HttpResponse<String> answer =
        send(request(node, "/metrics", GRANJA_KEY).header("Accept", "application/json").build());
    JsonNode metrics = Json.readTree(answer.body()).get();
    JsonNode gauge = metrics.path("gauges").path(name).path("value");
    JsonNode counter = metrics.path("counters").path(name).path("count");
    return gauge.asLong(0) + counter.asLong(0);
  }

  @Override
  public void close() {
    closer.close();
  }
}
