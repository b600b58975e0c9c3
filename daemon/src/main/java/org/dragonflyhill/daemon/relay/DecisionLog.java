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
 * Rate-limited log of routing and control decisions.
 *
 * <p>The limit applies to each kind of event. The first line after others of its kind were
 * suppressed tells how many were. Not thread-safe; no argument may be null.
 */
public final class DecisionLog {

  /** Maximum number of lines of one kind of event in each interval. */
  private static final int MAX_LINES_PER_INTERVAL = 10;

  private static final Duration INTERVAL = Duration.ofSeconds(1);
  private static final Logger LOGGER = LogManager.getLogger(DecisionLog.class);

  private final InstantSource clock;
  private final Map<String, EventCounter> counters = new HashMap<>();

  /** Creates a log that measures its intervals by a clock. */
  public DecisionLog(InstantSource clock) {
    this.clock = clock;
  }

  /** Writes a line at level INFO unless the rate limit of its kind of event is reached. */
  public void info(String event, UnaryOperator<LogEvent> fields) {
    Instant now = clock.instant();
    EventCounter counter = counters.computeIfAbsent(event, any -> new EventCounter());
    counter.total++;
    if (Duration.between(counter.intervalStart, now).compareTo(INTERVAL) >= 0) {
      counter.intervalStart = now;
      counter.writtenInInterval = 0;
    }
    if (counter.writtenInInterval >= MAX_LINES_PER_INTERVAL) {
      counter.suppressed++;
      return;
    }
    counter.writtenInInterval++;
    LogEvent line = fields.apply(LogEvent.of(event));
    if (counter.suppressed > 0) {
      line = line.with("left_out", counter.suppressed);
      counter.suppressed = 0;
    }
    line.info(LOGGER);
  }

  /** Returns the number of events of each kind, including suppressed ones. */
  public Map<String, Long> totals() {
    Map<String, Long> totals = new java.util.TreeMap<>();
    counters.forEach((event, counter) -> totals.put(event, counter.total));
    return totals;
  }

  private static final class EventCounter {
    private Instant intervalStart = Instant.EPOCH;
    private int writtenInInterval;
    private long suppressed;
    private long total;
  }
}
