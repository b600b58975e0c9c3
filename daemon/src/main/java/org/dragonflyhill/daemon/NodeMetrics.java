package org.dragonflyhill.daemon;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.dragonflyhill.core.RefusalReason;

/**
 * Counters, timers and gauges of a node.
 *
 * <pre>{@code
 * metrics.refused(RefusalReason.QUEUE_FULL);
 * }</pre>
 *
 * <p>Metric names contain neither organisations nor keys. Thread-safe; no argument may be null.
 */
public final class NodeMetrics {

  private final MetricRegistry registry = new MetricRegistry();
  private final PrometheusRegistry prometheus = new PrometheusRegistry();
  private final ObjectMapper mapper =
      new ObjectMapper()
          .registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

  /** Creates metrics with a counter for each refusal reason. */
  public NodeMetrics() {
    for (RefusalReason reason : RefusalReason.values()) {
      registry.counter("refused." + reason.code());
    }
    prometheus.register(new DropwizardExports(registry));
  }

  /** Counts a refusal. */
  public void countRefusal(RefusalReason reason) {
    registry.counter("refused." + reason.code()).inc();
  }

  /** Counts a retry for the given reason. */
  public void countRetry(String reason) {
    registry.counter("retried." + reason.toLowerCase(Locale.ROOT)).inc();
  }

  /** Counts several retries for the given reason. */
  public void countRetries(String reason, long amount) {
    registry.counter("retried." + reason.toLowerCase(Locale.ROOT)).inc(amount);
  }

  /** Increments the counter of the given name. */
  public void count(String name) {
    registry.counter(name).inc();
  }

  /** Adds an amount to the counter of the given name. */
  public void count(String name, long amount) {
    registry.counter(name).inc(amount);
  }

  /** Returns the counter of the given name. */
  public Counter counter(String name) {
    return registry.counter(name);
  }

  /** Returns the value of a counter. */
  public long counterValue(String name) {
    return registry.counter(name).getCount();
  }

  /** Returns the timer of a stage of request handling. */
  public Timer timer(String stage) {
    return registry.timer("stage." + stage);
  }

  /** Returns the histogram of the given name, in which recent values weigh more. */
  public Histogram histogram(String name) {
    return registry.histogram(name);
  }

  /** Registers a gauge that reads its value from a supplier. */
  public void registerGauge(String name, Supplier<Number> value) {
    registry.gauge(name, () -> (Gauge<Number>) value::get);
  }

  /** Returns all metrics as JSON. */
  public String json() {
    try {
      return mapper.writeValueAsString(registry);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to write the metrics as JSON", e);
    }
  }

  /** Returns all metrics in the Prometheus text format. */
  public String text() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.builder().build().write(out, prometheus.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException("failed to write the metrics as text", e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }
}
