package org.dragonflyhill.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.ports.LogEvent;

/**
 * Log lines about decisions, bounded for each kind of event.
 *
 * <p>The first line of a kind after others were left out says how many. Not thread-safe; no
 * argument may be null.
 */
public final class DecisionLog {

  /** Lines of one kind in each interval. */
  private static final int MAX_LINES = 10;

  private static final Duration INTERVAL = Duration.ofSeconds(1);
  private static final Logger LOGGER = LogManager.getLogger(DecisionLog.class);

  private final InstantSource clock;
  private final Map<String, Count> counts = new HashMap<>();

  /** Creates a log. */
  public DecisionLog(InstantSource clock) {
    this.clock = clock;
  }

  /** Writes a line unless there were too many of its kind. */
  public void note(String event, UnaryOperator<LogEvent> fields) {
    Instant now = clock.instant();
    Count count = counts.computeIfAbsent(event, any -> new Count());
    count.total++;
    if (Duration.between(count.begin, now).compareTo(INTERVAL) >= 0) {
      count.begin = now;
      count.lines = 0;
    }
    if (count.lines >= MAX_LINES) {
      count.leftOut++;
      return;
    }
    count.lines++;
    LogEvent line = fields.apply(LogEvent.of(event));
    if (count.leftOut > 0) {
      line = line.with("left_out", count.leftOut);
      count.leftOut = 0;
    }
    line.info(LOGGER);
  }

  /** Returns how often each kind of event was noted, written or not. */
  public Map<String, Long> totals() {
    Map<String, Long> totals = new java.util.TreeMap<>();
    counts.forEach((event, count) -> totals.put(event, count.total));
    return totals;
  }

  private static final class Count {
    private Instant begin = Instant.EPOCH;
    private int lines;
    private long leftOut;
    private long total;
  }
}
