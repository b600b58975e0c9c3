package org.dragonflyhill.proofs;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;
import org.awaitility.Awaitility;
import org.awaitility.core.ConditionTimeoutException;
import org.dragonflyhill.ports.Json;

/**
 * Sends orders, that is non-repeatable requests, and compares the responses with the records of the
 * service and log stand-ins, which do not depend on the system under test.
 */
final class ExecutionChecker {

  static final String SERVICE = "dispatch";

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(40);
  private static final Duration OUTCOME_TIMEOUT = Duration.ofSeconds(10);
  private static final long DEADLINE_MILLIS = 30_000;

  private final Deployment deployment;
  private final ConcurrentLinkedQueue<Response> responses = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<Execution> externalExecutions = new ConcurrentLinkedQueue<>();

  ExecutionChecker(Deployment deployment) {
    this.deployment = deployment;
  }

  /** Sends an order once; without an answer, the response has status 0 and empty fields. */
  Response send(ProcessHelper node, String service, String order) {
    HttpRequest request =
        deployment
            .request(node, "/v1/services/" + service + "/send", Deployment.GRANJA_KEY)
            .timeout(CALL_TIMEOUT)
            .header("Idempotency-Key", order)
            .header("Dragonflyhill-Deadline-Millis", String.valueOf(DEADLINE_MILLIS))
            .POST(HttpRequest.BodyPublishers.ofString("{\"order\":\"" + order + "\"}"))
            .build();
    Response answer = exchange(order, request);
    responses.add(answer);
    return answer;
  }

  Response send(ProcessHelper node, String order) {
    return send(node, SERVICE, order);
  }

  /** Sends an order repeatedly until it gets status 200, as a caller that must not lose it does. */
  Response sendUntilAnswered(ProcessHelper node, String order) {
    Response[] last = {send(node, order)};
    Awaitility.await()
        .atMost(Duration.ofSeconds(30))
        .pollInterval(Duration.ofMillis(100))
        .until(
            () -> {
              last[0] = last[0].status() == 200 ? last[0] : send(node, order);
              return last[0].status() == 200;
            });
    return last[0];
  }

  /** Records an execution by a service other than the service stand-in. */
  void recordExecution(String order, String requestId) {
    externalExecutions.add(new Execution(order, requestId, System.currentTimeMillis()));
  }

  int requests() {
    return responses.size();
  }

  long countExecutions(String order) {
    return allExecutions().stream().filter(one -> one.order().equals(order)).count();
  }

  /**
   * Returns a description of each violation.
   *
   * @param survivor a running node, which must list the claims that have no outcome
   */
  List<String> violations(ProcessHelper survivor) {
    List<String> violations = new ArrayList<>();
    Map<String, List<Execution>> executed =
        allExecutions().stream().collect(Collectors.groupingBy(Execution::order));
    executed.forEach(
        (order, runs) -> {
          if (runs.size() > 1) {
            violations.add(order + " executed " + runs.size() + " times");
          }
        });
    for (Response answer : responses) {
      contradiction(answer, executed.getOrDefault(answer.order(), List.of()))
          .ifPresent(violations::add);
    }
    violations.addAll(unlistedAfterTimeout(survivor));
    return violations;
  }

  // A node appends the outcome after it has answered, so this waits for open claims to be settled.
  private List<String> unlistedAfterTimeout(ProcessHelper survivor) {
    try {
      Awaitility.await()
          .atMost(OUTCOME_TIMEOUT)
          .until(() -> unlistedOpenClaims(survivor).isEmpty());
      return List.of();
    } catch (ConditionTimeoutException e) {
      return unlistedOpenClaims(survivor);
    }
  }

  private static Optional<String> contradiction(Response answer, List<Execution> runs) {
    boolean saysNo = answer.executed().equals("no");
    boolean saysYes = answer.status() == 200 || answer.executed().equals("yes");
    boolean ranBefore = runs.stream().anyMatch(run -> run.atMillis() < answer.atMillis());
    boolean ranItself = runs.stream().anyMatch(run -> run.requestId().equals(answer.requestId()));
    if (saysNo && (ranBefore || ranItself)) {
      String which = ranItself ? "this copy" : "another copy, before the answer";
      return Optional.of(answer + ", but it was executed (" + which + "): " + runs);
    }
    if (saysYes && runs.isEmpty()) {
      return Optional.of(answer + ", but it was not executed");
    }
    if (answer.reason().equals("deadline_passed")) {
      return Optional.of(answer + ": not answered before its deadline");
    }
    return Optional.empty();
  }

  /** Returns a message for each claim without an outcome that the node does not list as unknown. */
  private List<String> unlistedOpenClaims(ProcessHelper survivor) {
    Set<String> open = openClaims();
    JsonNode list =
        Json.readTree(fetch(survivor.address("admin_port"), "/admin/requests?state=unknown")).get();
    list.forEach(view -> open.remove(view.path("claim_id").asText()));
    return open.stream().map(id -> "claim " + id + " has no outcome and is not listed").toList();
  }

  /** Returns the ids of winning claims that have no outcome, according to the log's records. */
  Set<String> openClaims() {
    String path = "/streams/claims/records?from=0&limit=1000000&wait_millis=0";
    JsonNode page = Json.readTree(fetch(deployment.log.address("port"), path)).get();
    Map<String, String> live = new java.util.HashMap<>();
    Set<String> ended = new HashSet<>();
    for (JsonNode record : page.path("records")) {
      JsonNode event = Json.readTree(record.path("value").asText()).get().path("event");
      String key = event.path("key").toString();
      String claim = event.path("claim_id").asText();
      if (event.path("type").asText().equals("claimed")) {
        live.putIfAbsent(key, claim);
      } else if (event.path("type").asText().equals("settled")) {
        ended.add(claim);
      } else {
        live.remove(key, claim);
      }
    }
    Set<String> open = new HashSet<>(live.values());
    open.removeAll(ended);
    return open;
  }

  private List<Execution> allExecutions() {
    List<Execution> all = new ArrayList<>(externalExecutions);
    for (JsonNode record : deployment.records(deployment.service)) {
      JsonNode body = Json.readTree(record.path("body").asText()).get();
      all.add(
          new Execution(
              body.path("order").asText(),
              record.path("request_id").asText(),
              record.path("at_millis").asLong()));
    }
    return all;
  }

  private String fetch(String address, String path) {
    return deployment
        .send(HttpRequest.newBuilder(URI.create("http://" + address + path)).build())
        .body();
  }

  private Response exchange(String order, HttpRequest request) {
    try {
      HttpResponse<String> answer =
          deployment.client().send(request, HttpResponse.BodyHandlers.ofString());
      JsonNode body = Json.readTree(answer.body()).get();
      return new Response(
          order,
          answer.headers().firstValue("Dragonflyhill-Request-Id").orElse(""),
          answer.statusCode(),
          body.path("executed").asText(),
          body.path("reason").asText(),
          answer.headers().firstValue("Retry-After").isPresent(),
          System.currentTimeMillis());
    } catch (IOException e) {
      return new Response(order, "", 0, "", "", false, System.currentTimeMillis());
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Fields of the answer to an order; {@code executed} is "yes", "no", "unknown" or empty. */
  record Response(
      String order,
      String requestId,
      int status,
      String executed,
      String reason,
      boolean hasRetryAfter,
      long atMillis) {}

  private record Execution(String order, String requestId, long atMillis) {}
}
