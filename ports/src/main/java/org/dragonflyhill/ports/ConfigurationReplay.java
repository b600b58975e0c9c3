package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.dragonflyhill.core.ConfigurationFold;
import org.dragonflyhill.core.ConfigurationState;

/**
 * Applies pages of the configuration stream to a state whose offset never decreases.
 *
 * <p>If records expired before they were applied, later records are buffered until a snapshot
 * covers the gap. Applying them to an older state would give a different result than on nodes that
 * read all records.
 *
 * <pre>{@code
 * var replay = new ConfigurationReplay(ConfigurationState.empty(), observer);
 * replay.apply(page);
 * ConfigurationState state = replay.state();
 * }</pre>
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class ConfigurationReplay {

  private static final int MAX_BUFFERED_RECORDS = 10_000;

  private final Observer observer;
  private final Deque<LogPort.LogRecord> bufferedRecords = new ArrayDeque<>();
  private ConfigurationState state;
  private boolean hasGap;
  private boolean isLogBehind;
  private long gapEnd;
  private Optional<String> haltReason = Optional.empty();

  /** Creates a replay that continues from a state. */
  public ConfigurationReplay(ConfigurationState state, Observer observer) {
    this.state = state;
    this.observer = observer;
  }

  /** Returns the state after all records that could be applied. */
  public ConfigurationState state() {
    return state;
  }

  /** Returns why the state may not match the log, or empty if there is no problem. */
  public Optional<Problem> problem() {
    if (haltReason.isPresent()) {
      return haltReason.map(Problem.NewerSchema::new);
    }
    if (hasGap) {
      return Optional.of(new Problem.Expired(state.throughOffset(), gapEnd));
    }
    return isLogBehind
        ? Optional.of(new Problem.LogBehind(state.throughOffset()))
        : Optional.empty();
  }

  /**
   * Returns whether records are missing, in which case the state may be much older than the log.
   */
  public boolean hasGap() {
    return hasGap;
  }

  /** Applies the records of a page. */
  public void apply(LogPort.Page page) {
    if (haltReason.isPresent()) {
      return;
    }
    isLogBehind = page.next() <= state.throughOffset();
    long first = page.records().isEmpty() ? page.earliest() : page.records().getFirst().offset();
    if (first > expectedOffset()) {
      hasGap = true;
      gapEnd = first;
      bufferedRecords.clear();
    }
    page.records().forEach(this::applyOrBuffer);
  }

  /**
   * Replaces the state by one from a snapshot or a peer, if that one is intact and newer.
   *
   * @return whether the state was replaced
   */
  public boolean adopt(SerializedState serialized) {
    if (serialized.through() <= state.throughOffset()) {
      observer.skipped(
          Skip.OLD_SNAPSHOT, serialized.through(), "own offset " + state.throughOffset());
      return false;
    }
    Either<String, ConfigurationState> read = serialized.read();
    if (read.isLeft()) {
      observer.skipped(Skip.DAMAGED_SNAPSHOT, serialized.through(), read.getLeft());
      return false;
    }
    if (read.get().version() < state.version()) {
      String detail =
          "version " + read.get().version() + " is lower than own version " + state.version();
      observer.skipped(Skip.DAMAGED_SNAPSHOT, serialized.through(), detail);
      return false;
    }
    state = read.get();
    closeGap();
    return true;
  }

  private long expectedOffset() {
    return bufferedRecords.isEmpty()
        ? state.throughOffset() + 1
        : bufferedRecords.getLast().offset() + 1;
  }

  private void applyOrBuffer(LogPort.LogRecord record) {
    if (haltReason.isPresent() || record.offset() <= state.throughOffset()) {
      return;
    }
    if (hasGap) {
      buffer(record);
    } else {
      applyIfReadable(record);
    }
  }

  private void buffer(LogPort.LogRecord record) {
    bufferedRecords.add(record);
    if (bufferedRecords.size() > MAX_BUFFERED_RECORDS) {
      gapEnd = bufferedRecords.remove().offset() + 1;
    }
    if (ConfigurationRecord.read(record.value()).getOrNull()
        instanceof ConfigurationRecord.Snapshot snapshot) {
      adoptIfGapCovered(record.offset(), SerializedState.of(snapshot));
    }
  }

  private void adoptIfGapCovered(long offset, SerializedState serialized) {
    // A snapshot that ends before the gap does is outdated: records in the gap may have changed the
    // configuration since.
    if (serialized.through() + 1 < gapEnd) {
      observer.skipped(
          Skip.OLD_SNAPSHOT, offset, "not all records before " + gapEnd + " are included");
    } else {
      adopt(serialized);
    }
  }

  private void closeGap() {
    if (!hasGap || state.throughOffset() + 1 < gapEnd) {
      return;
    }
    hasGap = false;
    while (!bufferedRecords.isEmpty()) {
      applyOrBuffer(bufferedRecords.remove());
    }
  }

  private void applyIfReadable(LogPort.LogRecord record) {
    Either<ConfigurationRecord.Unreadable, ConfigurationRecord> read =
        ConfigurationRecord.read(record.value());
    if (read.isRight()) {
      applyRecord(record.offset(), read.get());
      return;
    }
    switch (read.getLeft()) {
      case ConfigurationRecord.Unreadable.NewerSchema newer -> halt(record, newer);
      case ConfigurationRecord.Unreadable.Damaged damaged -> {
        observer.skipped(Skip.UNREADABLE, record.offset(), damaged.detail());
        state = ConfigurationFold.skip(state, record.offset());
      }
    }
  }

  private void halt(LogPort.LogRecord record, ConfigurationRecord.Unreadable.NewerSchema newer) {
    String detail =
        "record %d has schema %d, this program supports up to %d"
            .formatted(record.offset(), newer.schema(), ConfigurationRecord.SCHEMA);
    haltReason = Optional.of(detail);
    bufferedRecords.clear();
    observer.skipped(Skip.NEWER_SCHEMA, record.offset(), detail);
  }

  private void applyRecord(long offset, ConfigurationRecord record) {
    switch (record) {
      case ConfigurationRecord.Change change -> {
        state = ConfigurationFold.apply(state, offset, change.change());
        observer.changeApplied(offset);
      }
      case ConfigurationRecord.Withdrawal withdrawal ->
          state =
              ConfigurationFold.withdraw(state, offset, withdrawal.changeId(), withdrawal.author());
      case ConfigurationRecord.Snapshot snapshot -> verifySnapshot(offset, snapshot);
    }
  }

  private void verifySnapshot(long offset, ConfigurationRecord.Snapshot snapshot) {
    // A reader without a gap has applied every record that the snapshot includes and only verifies
    // it.
    Either<String, ConfigurationState> read = SerializedState.of(snapshot).read();
    if (read.isLeft()) {
      observer.skipped(Skip.DAMAGED_SNAPSHOT, offset, read.getLeft());
    } else {
      observer.snapshotRead(offset, snapshot.through());
    }
    state = ConfigurationFold.skip(state, offset);
  }

  /** Reason why a state may not match the log. */
  public sealed interface Problem {

    /** Returns a description for operators. */
    String detail();

    /**
     * Records expired before they were applied, and no usable snapshot covers them.
     *
     * @param through offset of the last applied record
     * @param earliest first offset after the missing records
     */
    record Expired(long through, long earliest) implements Problem {
      @Override
      public String detail() {
        return "records after %d and before %d have expired and no usable snapshot covers them"
            .formatted(through, earliest);
      }
    }

    /**
     * A record has a newer schema version than this program can read.
     *
     * @param detail the record and its schema version
     */
    record NewerSchema(String detail) implements Problem {}

    /**
     * The log ends before the offset of the state, for example after the log lost records.
     *
     * @param through offset of the last applied record
     */
    record LogBehind(long through) implements Problem {
      @Override
      public String detail() {
        return "the log ends before record %d, which this node has applied".formatted(through);
      }
    }
  }

  /** Reason why a record or a state was not used. */
  public enum Skip {
    /** The text is not a valid record of this stream. */
    UNREADABLE,
    /** The snapshot is not newer than the current state, or does not cover the missing records. */
    OLD_SNAPSHOT,
    /** The digest, offset or version of the snapshot is wrong, or it cannot be parsed. */
    DAMAGED_SNAPSHOT,
    /** The record has a newer schema version than this program can read. */
    NEWER_SCHEMA
  }

  /** Receives notifications about the progress of a replay. */
  public interface Observer {

    /** An observer that does nothing. */
    Observer NONE = (reason, offset, detail) -> {};

    /** Called when a record or a state was not used. */
    void skipped(Skip reason, long offset, String detail);

    /** Called when a change was applied, whether it was accepted or rejected. */
    default void changeApplied(long offset) {}

    /** Called when an intact snapshot record was read. */
    default void snapshotRead(long offset, long through) {}
  }
}
