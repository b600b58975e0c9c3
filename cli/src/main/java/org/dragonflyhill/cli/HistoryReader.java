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
 * Reads how the configuration came to be, change by change, as far back as the log keeps records.
 *
 * <p>Immutable and thread-safe; no argument may be null.
 */
final class HistoryReader {

  private static final int PAGE_RECORDS = 1_000;

  private final LogPort log;

  HistoryReader(LogPort log) {
    this.log = log;
  }

  /** Returns the states after each change, oldest first. */
  Either<CommandError, List<Revision>> revisions() {
    List<Revision> steps = new ArrayList<>();
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
      page.records().forEach(record -> applyRecord(replay, page, record, steps));
      from = page.records().isEmpty() ? page.next() : page.records().getLast().offset() + 1;
      if (from >= page.next()) {
        return Either.right(steps);
      }
    }
  }

  private static void applyRecord(
      ConfigurationReplay replay,
      LogPort.Page page,
      LogPort.LogRecord record,
      List<Revision> steps) {
    replay.apply(new LogPort.Page(page.earliest(), page.next(), List.of(record)));
    revisionAt(replay.state(), record.offset()).ifPresent(steps::add);
  }

  private static Optional<Revision> revisionAt(ConfigurationState state, long offset) {
    if (state.decisions().isEmpty() || state.decisions().getLast().offset() != offset) {
      return Optional.empty();
    }
    return Optional.of(new Revision(state.decisions().getLast(), state));
  }

  /**
   * A change and the configuration after it.
   *
   * @param decision what became of the change
   * @param state configuration after it
   */
  record Revision(ConfigurationState.ChangeDecision decision, ConfigurationState state) {}
}
