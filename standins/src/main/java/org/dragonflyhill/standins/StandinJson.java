package org.dragonflyhill.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.dragonflyhill.ports.Json;

/** Parses JSON objects that set only some components of a record. Stateless and thread-safe. */
final class StandinJson {

  private StandinJson() {}

  /** Returns the default value with its components replaced by the fields of a JSON object. */
  static <T> Either<String, T> merge(T defaults, String body, Class<T> type) {
    ObjectNode fields = Json.mapper().valueToTree(defaults);
    return Json.readTree(body)
        .flatMap(overrides -> requireKnownFields(fields, overrides))
        .flatMap(overrides -> Json.read(fields.setAll(overrides).toString(), type));
  }

  private static Either<String, ObjectNode> requireKnownFields(
      ObjectNode known, JsonNode overrides) {
    if (!(overrides instanceof ObjectNode object)) {
      return Either.left("expected a JSON object");
    }
    for (var field : object.properties()) {
      if (!known.has(field.getKey())) {
        return Either.left(field.getKey() + ": no such field");
      }
    }
    return Either.right(object);
  }
}
