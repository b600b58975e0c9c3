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

  private static final int MAX_KEPT_BACK = 10_000;

  private final Observer observer;
  private final Deque<LogPort.LogRecord> keptBack = new ArrayDeque<>();
  private ConfigurationState state;
  private boolean isGap;
  private boolean isLogBehind;
  private long gapEnd;
  private Optional<String> halt = Optional.empty();

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
    if (halt.isPresent()) {
      return halt.map(Problem.NewerSchema::new);
    }
    if (isGap) {
      return Optional.of(new Problem.Expired(state.throughOffset(), gapEnd));
    }
    return isLogBehind
        ? Optional.of(new Problem.LogBehind(state.throughOffset()))
        : Optional.empty();
  }

  /** Returns whether records are missing, so that the state may be much older than the log. */
  public boolean isGap() {
    return isGap;
  }

  /** Folds a page. */
  public void take(LogPort.Page page) {
    if (halt.isPresent()) {
      return;
    }
    isLogBehind = page.next() <= state.throughOffset();
    long first = page.records().isEmpty() ? page.earliest() : page.records().getFirst().offset();
    if (first > expectedOffset()) {
      isGap = true;
      gapEnd = first;
      keptBack.clear();
    }
    page.records().forEach(this::next);
  }

  /**
   * Takes over a state from a snapshot or a peer if it is intact and ahead of the own one.
   *
   * @return whether it was taken
   */
  public boolean adopt(StateText text) {
    if (text.through() <= state.throughOffset()) {
      observer.skipped(Skip.OLD_SNAPSHOT, text.through(), "own " + state.throughOffset());
      return false;
    }
    Either<String, ConfigurationState> read = text.read();
    if (read.isLeft()) {
      observer.skipped(Skip.DAMAGED_SNAPSHOT, text.through(), read.getLeft());
      return false;
    }
    if (read.get().version() < state.version()) {
      String detail = "version " + read.get().version() + " below own " + state.version();
      observer.skipped(Skip.DAMAGED_SNAPSHOT, text.through(), detail);
      return false;
    }
    state = read.get();
    closeGap();
    return true;
  }

  private long expectedOffset() {
    return keptBack.isEmpty() ? state.throughOffset() + 1 : keptBack.getLast().offset() + 1;
  }

  private void next(LogPort.LogRecord record) {
    if (halt.isPresent() || record.offset() <= state.throughOffset()) {
      return;
    }
    if (isGap) {
      keepBack(record);
    } else {
      read(record);
    }
  }

  private void keepBack(LogPort.LogRecord record) {
    keptBack.add(record);
    if (keptBack.size() > MAX_KEPT_BACK) {
      gapEnd = keptBack.remove().offset() + 1;
    }
    if (ConfigurationRecord.read(record.value()).getOrNull()
        instanceof ConfigurationRecord.Snapshot snapshot) {
      adoptIfCovering(record.offset(), StateText.of(snapshot));
    }
  }

  private void adoptIfCovering(long offset, StateText text) {
    // A snapshot from before the gap is a configuration that changes since then have replaced.
    if (text.through() + 1 < gapEnd) {
      observer.skipped(Skip.OLD_SNAPSHOT, offset, "records from " + gapEnd + " on are there");
    } else {
      adopt(text);
    }
  }

  private void closeGap() {
    if (!isGap || state.throughOffset() + 1 < gapEnd) {
      return;
    }
    isGap = false;
    while (!keptBack.isEmpty()) {
      next(keptBack.remove());
    }
  }

  private void read(LogPort.LogRecord record) {
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
    halt = Optional.of(detail);
    keptBack.clear();
    observer.skipped(Skip.NEWER_SCHEMA, record.offset(), detail);
  }

  private void fold(long offset, ConfigurationRecord record) {
    switch (record) {
      case ConfigurationRecord.Change change -> {
        state = ConfigurationFold.apply(state, offset, change.change());
        observer.changed(offset);
      }
      case ConfigurationRecord.Withdrawal gone ->
          state = ConfigurationFold.withdraw(state, offset, gone.changeId(), gone.author());
      case ConfigurationRecord.Snapshot snapshot -> foldSnapshot(offset, snapshot);
    }
  }

  private void foldSnapshot(long offset, ConfigurationRecord.Snapshot snapshot) {
    // A reader without a gap holds every record that the snapshot can cover.
    Either<String, ConfigurationState> read = StateText.of(snapshot).read();
    if (read.isLeft()) {
      observer.skipped(Skip.DAMAGED_SNAPSHOT, offset, read.getLeft());
    } else {
      observer.snapshot(offset, snapshot.through());
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
    default void changed(long offset) {}

    /** An intact snapshot was read. */
    default void snapshot(long offset, long through) {}
  }
}
