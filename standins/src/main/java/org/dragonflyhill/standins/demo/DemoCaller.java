package org.dragonflyhill.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import org.dragonflyhill.ports.HttpCaller;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.ports.PlatformError;
import reactor.core.publisher.Mono;

/**
 * HTTP client of the demo for the nodes and the stand-ins.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class DemoCaller implements AutoCloseable {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final int CONNECTIONS = 16;
  private static final int MAX_RETRIES = 5;

  /** Value of {@code Retry-After} in the response of a node to a duplicate of a running request. */
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final HttpCaller caller = new HttpCaller("demo", CONNECTIONS, CONNECT_TIMEOUT);
  private final String bearerKey;

  DemoCaller(String bearerKey) {
    this.bearerKey = bearerKey;
  }

  /** Requests a completion from a node. */
  Result complete(String node, String model, String task, String prompt, int maxTokens) {
    ObjectNode body =
        Json.mapper()
            .createObjectNode()
            .put("model", model)
            .put("prompt", prompt)
            .put("max_tokens", maxTokens);
    return postToNode(
        node,
        "/v1/completions",
        List.of(authorization(), new HttpCaller.Header("Dragonflyhill-Task", task)),
        body.toString());
  }

  /**
   * Calls a plain service through a node, and retries while the node reports that an earlier
   * request with the same idempotency key is in progress.
   */
  Result callService(String node, String path, String idempotencyKey, String body) {
    Result result = callServiceOnce(node, path, idempotencyKey, body);
    for (int retries = 0; result.isInProgress() && retries < MAX_RETRIES; retries++) {
      Mono.delay(RETRY_AFTER).block();
      result = callServiceOnce(node, path, idempotencyKey, body);
    }
    return result;
  }

  private Result callServiceOnce(String node, String path, String idempotencyKey, String body) {
    return postToNode(
        node,
        "/v1/services/" + path,
        List.of(authorization(), new HttpCaller.Header("Idempotency-Key", idempotencyKey)),
        body);
  }

  /** Sends a request to a stand-in. */
  Result callStandin(HttpMethod method, String address, String path, String body) {
    return call(method, address, path, List.of(), body);
  }

  @Override
  public void close() {
    caller.close();
  }

  private HttpCaller.Header authorization() {
    return new HttpCaller.Header("Authorization", "Bearer " + bearerKey);
  }

  private Result postToNode(
      String node, String path, List<HttpCaller.Header> headers, String body) {
    return call(HttpMethod.POST, node, path, headers, body);
  }

  private Result call(
      HttpMethod method,
      String address,
      String path,
      List<HttpCaller.Header> headers,
      String body) {
    long startNanos = System.nanoTime();
    return caller
        .call(method, address, path, headers, body, TIMEOUT)
        .block()
        .fold(
            error -> new Result(status(error), error.detail(), millisSince(startNanos)),
            reply -> new Result(reply.status(), reply.body(), millisSince(startNanos)));
  }

  private static int status(PlatformError error) {
    return error instanceof PlatformError.Refused refused ? refused.status() : 0;
  }

  private static long millisSince(long startNanos) {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /**
   * Result of a request.
   *
   * @param status HTTP status code, 0 if there was no response
   * @param body response body, or the description of the error
   * @param millis time until the complete response, in milliseconds
   */
  record Result(int status, String body, long millis) {

    private static final int HTTP_CONFLICT = 409;

    boolean isInProgress() {
      return status == HTTP_CONFLICT && body.contains("\"reason\":\"in_progress\"");
    }

    JsonNode json() {
      return Json.readTree(body).getOrElse(() -> Json.mapper().createObjectNode());
    }

    String completionText() {
      return json().at("/choices/0/text").asText();
    }

    long cachedTokens() {
      return json().at("/usage/prompt_tokens_details/cached_tokens").asLong();
    }

    long promptTokens() {
      return json().at("/usage/prompt_tokens").asLong();
    }
  }
}
