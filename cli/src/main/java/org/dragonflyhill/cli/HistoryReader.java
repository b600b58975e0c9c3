package org.dragonflyhill.cli;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.ConfigurationState;
import org.dragonflyhill.ports.ConfigurationReplay;
import org.dragonflyhill.ports.LogPort;
import org.dragonflyhill.ports.PlatformError;

/**
 * Reads the history of the configuration, change by change, as far back as the log retains records.
 *
 * <p>Immutable and thread-safe; no argument may be null.
 */
final class HistoryReader {

  private static final int PAGE_RECORDS = 1_000;

  private final LogPort log;

  HistoryReader(LogPort log) {
    this.log = log;
  }

  /** Returns each change with the configuration after it, oldest first. */
  Either<CommandError, List<Revision>> revisions() {
    List<Revision> revisions = new ArrayList<>();
    var replay =
        new ConfigurationReplay(ConfigurationState.empty(), ConfigurationReplay.Observer.NONE);
    long from = 0;
    while (true) {
      Either<PlatformError, LogPort.Page> read =
          log.read(LogPort.CONFIGURATION_STREAM, from, PAGE_RECORDS, Duration.ZERO).block();
      if (read.isLeft()) {
        return Either.left(CommandError.of(read.getLeft()));
      }
      LogPort.Page page = read.get();
      page.records().forEach(record -> applyRecord(replay, page, record, revisions));
      from = page.records().isEmpty() ? page.next() : page.records().getLast().offset() + 1;
      if (from >= page.next()) {
        return Either.right(revisions);
      }
    }
  }

  private static void applyRecord(
      ConfigurationReplay replay,
      LogPort.Page page,
      LogPort.LogRecord record,
      List<Revision> revisions) {
    replay.apply(new LogPort.Page(page.earliest(), page.next(), List.of(record)));
    revisionAt(replay.state(), record.offset()).ifPresent(revisions::add);
  }

  private static Optional<Revision> revisionAt(ConfigurationState state, long offset) {
    if (state.decisions().isEmpty() || state.decisions().getLast().offset() != offset) {
      return Optional.empty();
    }
    return Optional.of(new Revision(state.decisions().getLast(), state));
  }

  /**
   * A change, accepted or rejected, and the configuration after it.
   *
   * @param decision whether the change was accepted, and if not, why
   * @param state configuration after the change
   */
  record Revision(ConfigurationState.ChangeDecision decision, ConfigurationState state) {}
}
