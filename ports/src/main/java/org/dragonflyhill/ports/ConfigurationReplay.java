package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.dragonflyhill.core.ConfigurationFold;
import org.dragonflyhill.core.ConfigurationState;

/**
 * Folds pages of the configuration stream into a state whose offset never goes down.
 *
 * <p>Where records have expired before they were folded, changes are kept back until a snapshot
 * covers the gap: folding them onto an older state would lead to another state than that of the
 * nodes which read all records.
 *
 * <pre>{@code
 * var replay = new ConfigurationReplay(ConfigurationState.empty(), observer);
 * replay.take(page);
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

  /** Creates a replay that goes on from a state. */
  public ConfigurationReplay(ConfigurationState state, Observer observer) {
    this.state = state;
    this.observer = observer;
  }

  /** Returns the state after all records that could be folded. */
  public ConfigurationState state() {
    return state;
  }

  /** Returns why the state falls behind the log, or empty where it does not. */
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

  /** Returns whether records are missing, so that the state may be much older than the log. */
  public boolean hasGap() {
    return hasGap;
  }

  /** Folds a page. */
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
    page.records().forEach(this::foldOrBuffer);
  }

  /**
   * Takes over a state from a snapshot or a peer if it is intact and ahead of the own one.
   *
   * @return whether it was taken
   */
  public boolean adopt(SerializedState serialized) {
    if (serialized.through() <= state.throughOffset()) {
      observer.skipped(Skip.OLD_SNAPSHOT, serialized.through(), "own " + state.throughOffset());
      return false;
    }
    Either<String, ConfigurationState> read = serialized.read();
    if (read.isLeft()) {
      observer.skipped(Skip.DAMAGED_SNAPSHOT, serialized.through(), read.getLeft());
      return false;
    }
    if (read.get().version() < state.version()) {
      String detail = "version " + read.get().version() + " below own " + state.version();
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

  private void foldOrBuffer(LogPort.LogRecord record) {
    if (haltReason.isPresent() || record.offset() <= state.throughOffset()) {
      return;
    }
    if (hasGap) {
      buffer(record);
    } else {
      foldIfReadable(record);
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
    // A snapshot from before the gap is a configuration that changes since then have replaced.
    if (serialized.through() + 1 < gapEnd) {
      observer.skipped(Skip.OLD_SNAPSHOT, offset, "records from " + gapEnd + " on are there");
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
      foldOrBuffer(bufferedRecords.remove());
    }
  }

  private void foldIfReadable(LogPort.LogRecord record) {
    Either<ConfigurationRecord.Unreadable, ConfigurationRecord> read =
        ConfigurationRecord.read(record.value());
    if (read.isRight()) {
      fold(record.offset(), read.get());
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
        "record %d has schema %d, this program understands %d"
            .formatted(record.offset(), newer.schema(), ConfigurationRecord.SCHEMA);
    haltReason = Optional.of(detail);
    bufferedRecords.clear();
    observer.skipped(Skip.NEWER_SCHEMA, record.offset(), detail);
  }

  private void fold(long offset, ConfigurationRecord record) {
    switch (record) {
      case ConfigurationRecord.Change change -> {
        state = ConfigurationFold.apply(state, offset, change.change());
        observer.changeFolded(offset);
      }
      case ConfigurationRecord.Withdrawal withdrawal ->
          state =
              ConfigurationFold.withdraw(state, offset, withdrawal.changeId(), withdrawal.author());
      case ConfigurationRecord.Snapshot snapshot -> foldSnapshot(offset, snapshot);
    }
  }

  private void foldSnapshot(long offset, ConfigurationRecord.Snapshot snapshot) {
    // A reader without a gap holds every record that the snapshot can cover.
    Either<String, ConfigurationState> read = SerializedState.of(snapshot).read();
    if (read.isLeft()) {
      observer.skipped(Skip.DAMAGED_SNAPSHOT, offset, read.getLeft());
    } else {
      observer.snapshotRead(offset, snapshot.through());
    }
    state = ConfigurationFold.skip(state, offset);
  }

  /** Why a state falls behind the log. */
  public sealed interface Problem {

    /** Returns one sentence for operators. */
    String detail();

    /**
     * Records expired and no usable snapshot covers them.
     *
     * @param through offset of the last folded record
     * @param earliest first offset that is there again
     */
    record Expired(long through, long earliest) implements Problem {
      @Override
      public String detail() {
        return "records after %d and before %d have expired and no usable snapshot covers them"
            .formatted(through, earliest);
      }
    }

    /**
     * A record is of a newer schema.
     *
     * @param detail which record and schema
     */
    record NewerSchema(String detail) implements Problem {}

    /**
     * The log ends before the own state, as after a loss of its records.
     *
     * @param through offset of the last folded record
     */
    record LogBehind(long through) implements Problem {
      @Override
      public String detail() {
        return "the log ends before record %d, which this node has folded".formatted(through);
      }
    }
  }

  /** Why a record or a state was not used. */
  public enum Skip {
    /** It is no record of this stream. */
    UNREADABLE,
    /** It is not ahead of the own state. */
    OLD_SNAPSHOT,
    /** Its digest, offset or version is wrong. */
    DAMAGED_SNAPSHOT,
    /** A newer program wrote it. */
    NEWER_SCHEMA
  }

  /** Takes note of what a replay meets. */
  public interface Observer {

    /** An observer that takes no note. */
    Observer NONE = (reason, offset, detail) -> {};

    /** A record or a state was not used. */
    void skipped(Skip reason, long offset, String detail);

    /** A change was folded, accepted or not. */
    default void changeFolded(long offset) {}

    /** An intact snapshot was read. */
    default void snapshotRead(long offset, long through) {}
  }
}
