package org.dragonflyhill.ports;

import io.vavr.control.Either;
import org.dragonflyhill.core.ClaimEvent;

/**
 * One record of the claim stream: an event and the version of its form.
 *
 * <pre>{@code
 * String text = ClaimRecord.of(event).text();
 * Either<ClaimRecord.Unreadable, ClaimEvent> read = ClaimRecord.read(text);
 * }</pre>
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param schema version of the record's form
 * @param event the event
 */
public record ClaimRecord(int schema, ClaimEvent event) {

  /** Version that this program writes and fully understands. */
  public static final int SCHEMA = 1;

  /** Returns a record of the present version. */
  public static ClaimRecord of(ClaimEvent event) {
    return new ClaimRecord(SCHEMA, event);
  }

  /** Returns the text that goes into the log. */
  public String text() {
    return Json.write(this);
  }

  /** Reads a record, or says why it cannot be read. */
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
   * Why a record cannot be read.
   *
   * @param isNewer whether a newer program could read it
   * @param detail what is wrong with it
   */
  public record Unreadable(boolean isNewer, String detail) {}
}
