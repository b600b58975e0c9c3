package org.dragonflyhill.standins;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.ports.Json;
import reactor.netty.http.server.HttpServerRequest;

/**
 * HTTP request to a stand-in.
 *
 * <p>Thread-safe as long as the body array is not modified; no component is null.
 *
 * @param method HTTP method
 * @param path path without the query string
 * @param query decoder of the query string
 * @param requestId value of the Request-Id header, empty if absent
 * @param organisation value of the Organisation header, empty if absent
 * @param body request body
 */
public record StandinRequest(
    String method,
    String path,
    QueryStringDecoder query,
    String requestId,
    String organisation,
    byte[] body) {

  static StandinRequest of(HttpServerRequest request, byte[] body) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    return new StandinRequest(
        request.method().name(),
        query.path(),
        query,
        request.requestHeaders().get("Request-Id", ""),
        request.requestHeaders().get("Organisation", ""),
        body);
  }

  /** Returns the body decoded as UTF-8. */
  public String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /**
   * Parses the body as JSON.
   *
   * @throws IllegalArgumentException if the body is not valid JSON for the type
   */
  public <T> T parseBody(Class<T> type) {
    return Json.read(bodyText(), type).getOrElseThrow(error -> new IllegalArgumentException(error));
  }

  /** Returns a query parameter as an integer, 0 if absent. */
  public long queryNumber(String name) {
    return Optional.ofNullable(query.parameters().get(name))
        .map(List::getFirst)
        .map(Long::parseLong)
        .orElse(0L);
  }

  /** Returns a query parameter as text, empty if absent. */
  public String queryText(String name) {
    return Optional.ofNullable(query.parameters().get(name)).map(List::getFirst).orElse("");
  }

  /** Returns the segments of the path. */
  public List<String> pathSegments() {
    return List.of(path.substring(1).split("/"));
  }
}
