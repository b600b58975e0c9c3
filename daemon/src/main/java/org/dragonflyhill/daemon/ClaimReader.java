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
 * Applies pages of the claim stream to a table and tracks whether the table holds all claims of the
 * window.
 *
 * <p>Not thread-safe; callers must synchronize access. No argument may be null.
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

  /** Creates a reader that passes each event to a listener after applying it. */
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

  /** Applies the records of a page that were not applied before. */
  void apply(LogPort.Page page, Instant now) {
    if (page.earliest() > table.throughOffset() + 1) {
      completeSince = Optional.of(startTime(page).orElse(now));
      table.skip(page.earliest() - 1);
      metrics.count("claims.expired_unread");
    }
    for (LogPort.LogRecord record : page.records()) {
      if (record.offset() > table.throughOffset()) {
        applyRecord(record);
      }
    }
    isEndReached |= table.throughOffset() + 1 >= page.next();
  }

  /** Returns whether the given page, which was the last one applied, ends the stream. */
  boolean isAtEnd(LogPort.Page page) {
    return table.throughOffset() + 1 >= page.next() || page.records().isEmpty();
  }

  /** Returns why this node cannot decide claims now, or empty if it can. */
  Optional<NotReady> notReadyReason(Instant now) {
    if (!isEndReached) {
      return notReady("this node has not read all claims yet", Duration.ofSeconds(1));
    }
    if (isNewerSchemaSeen) {
      return notReady(
          "the log contains claims in a newer format that this version cannot read",
          window.gracePeriod());
    }
    Optional<Instant> windowCompleteAt =
        completeSince.map(from -> from.plus(window.retentionPeriod()));
    return windowCompleteAt
        .filter(now::isBefore)
        .flatMap(
            at ->
                notReady(
                    "claims within the window expired from the log before this node read them",
                    Duration.between(now, at)));
  }

  private static Optional<NotReady> notReady(String detail, Duration retryAfter) {
    return Optional.of(new NotReady(detail, retryAfter));
  }

  private void applyRecord(LogPort.LogRecord record) {
    ClaimRecord.read(record.value())
        .peek(event -> applyEvent(record.offset(), event))
        .peekLeft(fault -> skip(record.offset(), fault));
  }

  private void applyEvent(long offset, ClaimEvent event) {
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

  // Returns the latest time of the first few claims: a claim from a node whose clock is slow must
  // not make the stream appear to start earlier than it does.
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
   * Reason why this node cannot decide claims.
   *
   * @param detail human-readable explanation
   * @param retryAfter time after which a retry may succeed
   */
  record NotReady(String detail, Duration retryAfter) {}
}
