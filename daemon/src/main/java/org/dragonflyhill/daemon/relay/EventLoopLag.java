package org.dragonflyhill.daemon.relay;

import com.codahale.metrics.Histogram;
import java.time.Duration;
import java.time.Instant;
import org.dragonflyhill.daemon.NodeMetrics;

/**
 * How late the event loop runs a periodic task. Whatever the node reads, sends or cancels is late
 * by about as much.
 */
final class EventLoopLag {

  /** Name of the histogram, in milliseconds. */
  static final String NAME = "relay.event_loop_lag_ms";

  /** Lag from which a line is logged. */
  private static final Duration LOGGED_LAG = Duration.ofMillis(250);

  private final Duration interval;
  private final DecisionLog log;
  private final Histogram histogram;
  private Instant ranAt;

  /**
   * Creates a measurement.
   *
   * @param interval time between two runs of the task if the event loop is not late
   * @param now present time
   */
  EventLoopLag(Duration interval, NodeMetrics metrics, DecisionLog log, Instant now) {
    this.interval = interval;
    this.log = log;
    histogram = metrics.histogram(NAME);
    ranAt = now;
  }

  /** Records a run of the task. */
  void record(Instant now) {
    Duration lag = Duration.between(ranAt.plus(interval), now);
    ranAt = now;
    histogram.update(Math.max(0, lag.toMillis()));
    if (lag.compareTo(LOGGED_LAG) >= 0) {
      log.info("event_loop_late", event -> event.with("lag_ms", lag.toMillis()));
    }
  }
}
