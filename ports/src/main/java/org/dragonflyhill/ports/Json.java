package org.dragonflyhill.ports;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vavr.control.Either;

/**
 * Converts records to JSON and back. Field names are in snake case.
 *
 * <pre>{@code
 * String text = Json.write(change);
 * Either<String, ChangeRecord> read = Json.read(text, ChangeRecord.class);
 * }</pre>
 *
 * <p>Unknown fields are ignored, so that nodes of consecutive versions can run at the same time.
 * Stateless and thread-safe; no argument may be null.
 */
public final class Json {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .addMixIn(
              org.dragonflyhill.core.ConfigurationObject.class, JsonTypes.ConfigurationMixIn.class)
          .addMixIn(org.dragonflyhill.core.ClaimEvent.class, JsonTypes.ClaimMixIn.class)
          .addMixIn(org.dragonflyhill.core.ClaimTable.Outcome.class, JsonTypes.OutcomeMixIn.class)
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
          .build();

  private Json() {}

  /** Returns the mapper, for reading JSON trees and for deriving stricter mappers. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /**
   * Returns the JSON text of a value.
   *
   * @throws IllegalArgumentException if values of the type cannot be serialized, which is a
   *     programming error
   */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "cannot serialize as JSON: " + value.getClass().getName(), e);
    }
  }

  /** Parses a value, or returns a description of what is wrong with the text. */
  public static <T> Either<String, T> read(String text, Class<T> type) {
    try {
      T value = MAPPER.readValue(text, type);
      return value == null ? Either.left("null, expected an object") : Either.right(value);
    } catch (JsonProcessingException e) {
      return Either.left(e.getOriginalMessage());
    }
  }

  /** Parses a JSON tree, or returns a description of what is wrong with the text. */
  public static Either<String, JsonNode> readTree(String text) {
    return read(text, JsonNode.class);
  }
}
