package org.dragonflyhill.ports;

import io.vavr.control.Either;
import org.dragonflyhill.core.ClaimEvent;

/**
 * One record of the claim stream: an event and the schema version of the record.
 *
 * <pre>{@code
 * String text = ClaimRecord.of(event).text();
 * Either<ClaimRecord.Unreadable, ClaimEvent> read = ClaimRecord.read(text);
 * }</pre>
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param schema schema version of the record
 * @param event the event
 */
public record ClaimRecord(int schema, ClaimEvent event) {

  /** Schema version that this program writes, and the newest one that it can read. */
  public static final int SCHEMA = 1;

  /** Returns a record with the current schema version. */
  public static ClaimRecord of(ClaimEvent event) {
    return new ClaimRecord(SCHEMA, event);
  }

  /** Returns the JSON text that is appended to the log. */
  public String text() {
    return Json.write(this);
  }

  /** Parses a record, or returns why it cannot be read. */
  public static Either<Unreadable, ClaimEvent> read(String text) {
    int schema = Json.readTree(text).map(tree -> tree.path("schema").asInt()).getOrElse(0);
    if (schema > SCHEMA) {
      return Either.left(new Unreadable(true, "schema " + schema + ", expected at most " + SCHEMA));
    }
    return Json.read(text, ClaimRecord.class)
        .map(ClaimRecord::event)
        .mapLeft(fault -> new Unreadable(false, fault));
  }

  /**
   * Reason why a record cannot be read.
   *
   * @param isNewer whether the record has a newer schema version than {@link #SCHEMA}
   * @param detail description of the problem
   */
  public record Unreadable(boolean isNewer, String detail) {}
}
