package org.dragonflyhill.standins;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.dragonflyhill.ports.Json;
import reactor.core.publisher.Flux;

/** Answer of a stand-in. All variants are thread-safe; no component is null. */
public sealed interface StandinReply {

  /**
   * A whole answer.
   *
   * @param status HTTP status
   * @param contentType media type
   * @param body bytes
   */
  record Complete(int status, String contentType, byte[] body) implements StandinReply {}

  /**
   * Server-sent events.
   *
   * @param events data of each event; an empty one cuts the connection
   */
  record EventStream(Flux<Optional<String>> events) implements StandinReply {}

  /** No answer: the connection is cut. */
  record CloseConnection() implements StandinReply {}

  /** Returns JSON text with a status. */
  static StandinReply jsonText(int status, String json) {
    return new Complete(status, "application/json", json.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a value as JSON. */
  static StandinReply json(Object value) {
    return jsonText(200, Json.write(value));
  }
}
