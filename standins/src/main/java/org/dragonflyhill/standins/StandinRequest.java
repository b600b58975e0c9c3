package org.dragonflyhill.standins;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.ports.Json;
import reactor.netty.http.server.HttpServerRequest;

/**
 * A call of a stand-in.
 *
 * <p>Thread-safe as long as the body is not changed; no component is null.
 *
 * @param method HTTP method
 * @param path path without query
 * @param query the query
 * @param requestId value of the Request-Id header, empty for none
 * @param organisation value of the Organisation header, empty for none
 * @param body bytes of the body
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

  /** Returns the body as text. */
  public String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /**
   * Reads the body as JSON.
   *
   * @throws IllegalArgumentException if it has another form
   */
  public <T> T parseBody(Class<T> type) {
    return Json.read(bodyText(), type).getOrElseThrow(fault -> new IllegalArgumentException(fault));
  }

  /** Returns a whole number of the query, 0 for none. */
  public long queryNumber(String name) {
    return Optional.ofNullable(query.parameters().get(name))
        .map(List::getFirst)
        .map(Long::parseLong)
        .orElse(0L);
  }

  /** Returns a text of the query, empty for none. */
  public String queryText(String name) {
    return Optional.ofNullable(query.parameters().get(name)).map(List::getFirst).orElse("");
  }

  /** Returns the parts of the path. */
  public List<String> pathSegments() {
    return List.of(path.substring(1).split("/"));
  }
}
