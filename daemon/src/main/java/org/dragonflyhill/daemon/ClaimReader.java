package org.dragonflyhill.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.core.ClaimEvent;
import org.dragonflyhill.core.ClaimTable;
import org.dragonflyhill.core.ClaimWindow;
import org.dragonflyhill.ports.ClaimRecord;
import org.dragonflyhill.ports.LogEvent;
import org.dragonflyhill.ports.LogPort;

/**
 * Folds pages of the claim stream into a table and knows whether the table holds the whole window.
 *
 * <p>Not thread-safe; its owner guards it. No argument may be null.
 */
final class ClaimReader {

  private static final Logger LOGGER = LogManager.getLogger(ClaimReader.class);
  private static final int START_TIME_SAMPLE = 16;

  private final ClaimWindow window;
  private final ClaimTable table;
  private final NodeMetrics metrics;
  private final Consumer<ClaimEvent> eventListener;
  private boolean isEndReached;
  private boolean isNewerSchemaSeen;
  private Optional<Instant> completeSince = Optional.empty();

  /** Creates a reader that hands each event on once it is folded. */
  ClaimReader(
      ClaimWindow window,
      ClaimTable table,
      NodeMetrics metrics,
      Consumer<ClaimEvent> eventListener) {
    this.window = window;
    this.table = table;
    this.metrics = metrics;
    this.eventListener = eventListener;
  }

  /** Folds the records of a page that were not folded before. */
  void apply(LogPort.Page page, Instant now) {
    if (page.earliest() > table.throughOffset() + 1) {
      completeSince = Optional.of(startTime(page).orElse(now));
      table.skip(page.earliest() - 1);
      metrics.count("claims.expired_unread");
    }
    for (LogPort.LogRecord record : page.records()) {
      if (record.offset() > table.throughOffset()) {
        apply(record);
      }
    }
    isEndReached |= table.throughOffset() + 1 >= page.next();
  }

  /** Returns whether the end of the stream was reached by a page that ended there. */
  boolean isAtEnd(LogPort.Page page) {
    return table.throughOffset() + 1 >= page.next() || page.records().isEmpty();
  }

  /** Returns why this node cannot decide about claims now, or empty if it can. */
  Optional<NotReady> notReadyReason(Instant now) {
    if (!isEndReached) {
      return notReady("this node has not read all claims yet", Duration.ofSeconds(1));
    }
    if (isNewerSchemaSeen) {
      return notReady(
          "a newer program writes claims that this one cannot read", window.gracePeriod());
    }
    Optional<Instant> windowCompleteAt =
        completeSince.map(from -> from.plus(window.retentionPeriod()));
    return windowCompleteAt
        .filter(now::isBefore)
        .flatMap(at -> notReady("the log lost claims of the window", Duration.between(now, at)));
  }

  private static Optional<NotReady> notReady(String detail, Duration retryAfter) {
    return Optional.of(new NotReady(detail, retryAfter));
  }

  private void apply(LogPort.LogRecord record) {
    ClaimRecord.read(record.value())
        .peek(event -> apply(record.offset(), event))
        .peekLeft(fault -> skip(record.offset(), fault));
  }

  private void apply(long offset, ClaimEvent event) {
    table.apply(offset, event);
    eventListener.accept(event);
  }

  private void skip(long offset, ClaimRecord.Unreadable fault) {
    isNewerSchemaSeen |= fault.isNewer();
    table.skip(offset);
    metrics.count("claims.unreadable_records");
    LogEvent.of("claim_record_unreadable")
        .with("offset", offset)
        .with("newer", fault.isNewer())
        .warn(LOGGER);
  }

  // A clock that ran slow must not make the stream look older than it is, so the latest of a few
  // records counts.
  private static Optional<Instant> startTime(LogPort.Page page) {
    List<ClaimEvent> events =
        page.records().stream()
            .flatMap(record -> ClaimRecord.read(record.value()).toJavaStream())
            .toList();
    return events.stream()
        .filter(ClaimEvent.Claimed.class::isInstance)
        .map(event -> ((ClaimEvent.Claimed) event).atMillis())
        .limit(START_TIME_SAMPLE)
        .max(Long::compare)
        .map(Instant::ofEpochMilli);
  }

  /**
   * Why this node cannot decide about claims.
   *
   * @param detail one sentence for people
   * @param retryAfter when it may be able to
   */
  record NotReady(String detail, Duration retryAfter) {}
}
