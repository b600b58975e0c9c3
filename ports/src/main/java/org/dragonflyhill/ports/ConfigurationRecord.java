package org.dragonflyhill.ports;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.vavr.control.Either;
import org.dragonflyhill.core.ChangeRecord;

/**
 * One record of the configuration stream.
 *
 * <p>Adding a field that affects how a record is applied increments {@link #SCHEMA}. A program that
 * reads a record with a newer schema stops before it, because it cannot tell which fields it would
 * ignore.
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

  /** Schema version that this program writes, and the newest one that it can read. */
  int SCHEMA = 1;

  /** Returns the schema version of the record. */
  int schema();

  /** Parses a record, or returns why this program cannot read it. */
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
   * @param schema schema version of the record
   * @param change the change
   */
  record Change(int schema, ChangeRecord change) implements ConfigurationRecord {}

  /**
   * Withdrawal of a change whose append got no response.
   *
   * @param schema schema version of the record
   * @param changeId id of the withdrawn change
   * @param author author of the withdrawal
   */
  record Withdrawal(int schema, String changeId, String author) implements ConfigurationRecord {}

  /**
   * The configuration after all records up to an offset, for readers that start after these records
   * have expired.
   *
   * @param schema schema version of the record
   * @param through offset of the last record that the state includes
   * @param state the configuration as text, see {@link SerializedState}
   * @param digest digest of that text
   */
  record Snapshot(int schema, long through, String state, String digest)
      implements ConfigurationRecord {}

  /**
   * The fields that records of every schema version have.
   *
   * @param schema schema version of the record
   */
  record Header(int schema) {}

  /** Reason why this program cannot read a record. */
  sealed interface Unreadable {

    /**
     * The record has a newer schema version, so a newer program wrote it.
     *
     * @param schema schema version of the record
     */
    record NewerSchema(int schema) implements Unreadable {}

    /**
     * The text is not a valid record of this stream.
     *
     * @param detail description of the problem
     */
    record Damaged(String detail) implements Unreadable {}
  }
}
