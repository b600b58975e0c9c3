package org.dragonflyhill.ports;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.vavr.control.Either;
import org.dragonflyhill.core.ChangeRecord;

/**
 * One record of the configuration stream.
 *
 * <p>A field that decides anything raises {@link #SCHEMA}; a program that meets a record of a newer
 * schema stops before it, since it cannot know what it would miss.
 *
 * <p>All variants are immutable and thread-safe; no component is null.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ConfigurationRecord.Change.class, name = "change"),
  @JsonSubTypes.Type(value = ConfigurationRecord.Withdrawal.class, name = "withdrawal"),
  @JsonSubTypes.Type(value = ConfigurationRecord.Snapshot.class, name = "snapshot")
})
public sealed interface ConfigurationRecord {

  /** Version of the record's form that this program writes and fully understands. */
  int SCHEMA = 1;

  /** Returns the version of the record's form. */
  int schema();

  /** Reads a record, or returns why it has no meaning to this program. */
  static Either<Unreadable, ConfigurationRecord> read(String text) {
    Either<String, Header> header = Json.read(text, Header.class);
    if (header.isRight() && header.get().schema() > SCHEMA) {
      return Either.left(new Unreadable.NewerSchema(header.get().schema()));
    }
    return Json.read(text, ConfigurationRecord.class).mapLeft(Unreadable.Damaged::new);
  }

  /**
   * A change by an operator.
   *
   * @param schema version of the record's form
   * @param change the change
   */
  record Change(int schema, ChangeRecord change) implements ConfigurationRecord {}

  /**
   * An author gives up a change whose append was never answered.
   *
   * @param schema version of the record's form
   * @param changeId id of the change
   * @param author who gives it up
   */
  record Withdrawal(int schema, String changeId, String author) implements ConfigurationRecord {}

  /**
   * The configuration after all records up to an offset, for readers that come after these expired.
   *
   * @param schema version of the record's form
   * @param through offset of the last record that the state includes
   * @param state the state as text, see {@link SerializedState}
   * @param digest digest of that text
   */
  record Snapshot(int schema, long through, String state, String digest)
      implements ConfigurationRecord {}

  /**
   * The part of a record that every version has.
   *
   * @param schema version of the record's form
   */
  record Header(int schema) {}

  /** Why a record has no meaning to this program. */
  sealed interface Unreadable {

    /**
     * A newer program wrote it.
     *
     * @param schema version of its form
     */
    record NewerSchema(int schema) implements Unreadable {}

    /**
     * It is no record of this stream.
     *
     * @param detail what is wrong with it
     */
    record Damaged(String detail) implements Unreadable {}
  }
}
