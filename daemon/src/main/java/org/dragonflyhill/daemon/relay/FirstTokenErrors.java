package org.dragonflyhill.daemon.relay;

import com.codahale.metrics.Histogram;
import org.dragonflyhill.daemon.NodeMetrics;

/**
 * Metric of the error of estimated times to first token: measured minus estimated, in milliseconds.
 * Negative values are overestimates.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class FirstTokenErrors {

  /** Name of the histogram and prefix of the gauges with its median and 90th percentile. */
  static final String NAME = "relay.first_token_error_ms";

  private final Histogram histogram;

  FirstTokenErrors(NodeMetrics metrics) {
    histogram = metrics.histogram(NAME);
    metrics.registerGauge(NAME + ".median", () -> histogram.getSnapshot().getMedian());
    metrics.registerGauge(NAME + ".p90", () -> histogram.getSnapshot().getValue(0.9));
  }

  /** Records an answer with its estimated and measured time to first token, in seconds. */
  void record(double estimated, double measured) {
    histogram.update(Math.round((measured - estimated) * 1_000));
  }
}
