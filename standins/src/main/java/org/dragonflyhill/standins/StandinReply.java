package org.dragonflyhill.standins;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.dragonflyhill.ports.Json;
import reactor.core.publisher.Flux;

/** HTTP response of a stand-in. All variants are thread-safe; no component is null. */
public sealed interface StandinReply {

  /**
   * A response that is sent in one piece.
   *
   * @param status HTTP status code
   * @param contentType value of the Content-Type header
   * @param body response body
   */
  record Complete(int status, String contentType, byte[] body) implements StandinReply {}

  /**
   * A stream of server-sent events.
   *
   * @param events data of each event; an empty value closes the connection
   */
  record EventStream(Flux<Optional<String>> events) implements StandinReply {}

  /** Closes the connection without a response. */
  record CloseConnection() implements StandinReply {}

  /** Returns a response with a status code and a body that is already JSON. */
  static StandinReply jsonText(int status, String json) {
    return new Complete(status, "application/json", json.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a response with status 200 and a value serialized as JSON. */
  static StandinReply json(Object value) {
    return jsonText(200, Json.write(value));
  }
}
