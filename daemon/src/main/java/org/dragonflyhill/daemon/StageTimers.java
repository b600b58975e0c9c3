package org.dragonflyhill.daemon;

import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;

/**
 * Measures the time that each stage of request handling takes: for a filter, until it passes the
 * request on; for the last handler, until it emits the reply.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class StageTimers {

  private final NodeMetrics metrics;

  StageTimers(NodeMetrics metrics) {
    this.metrics = metrics;
  }

  /**
   * Returns a filter whose own time is measured, without that of later stages. A request that the
   * filter replies to itself is not measured.
   */
  RequestFilter timed(String stage, RequestFilter filter) {
    Timer timer = metrics.timer(stage);
    return (context, next) -> {
      long startNanos = System.nanoTime();
      return filter.handle(
          context,
          nextContext -> {
            timer.update(System.nanoTime() - startNanos, TimeUnit.NANOSECONDS);
            return next.handle(nextContext);
          });
    };
  }

  /** Returns a handler that is measured until it emits its reply. */
  RequestFilter.Handler timed(String stage, RequestFilter.Handler handler) {
    Timer timer = metrics.timer(stage);
    return context -> {
      long startNanos = System.nanoTime();
      return handler
          .handle(context)
          .doOnNext(reply -> timer.update(System.nanoTime() - startNanos, TimeUnit.NANOSECONDS));
    };
  }
}
