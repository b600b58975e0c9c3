package org.dragonflyhill.daemon.relay;

import static org.testng.Assert.assertEquals;

import org.dragonflyhill.daemon.NodeMetrics;
import org.testng.annotations.Test;

/** Tests the metric of the error of estimated times to first token. */
public final class FirstTokenErrorsTest {

  /** Guards against a metric that shows only the size or only the mean of the errors. */
  @Test
  public void showsMedianAndNinetiethPercentileWithSign() {
    NodeMetrics metrics = new NodeMetrics();
    FirstTokenErrors errors = new FirstTokenErrors(metrics);
    for (int i = 1; i <= 100; i++) {
      errors.record(0.060, i / 1e3);
    }
    // Later values weigh a little more if the clock passes a second in between.
    assertEquals(gauge(metrics, "relay_first_token_error_ms_median"), -10, 3);
    assertEquals(gauge(metrics, "relay_first_token_error_ms_p90"), 30, 3);
  }

  private static double gauge(NodeMetrics metrics, String name) {
    return metrics
        .text()
        .lines()
        .filter(line -> line.startsWith(name + ' '))
        .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
        .findFirst()
        .orElseThrow();
  }
}
