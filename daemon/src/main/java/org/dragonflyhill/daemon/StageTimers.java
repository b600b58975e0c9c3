package org.dragonflyhill.daemon;

import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;

/**
 * Times each stage of a request: the way from a filter to the one behind it, and the last handler's
 * work until its reply.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class StageTimers {

  private final NodeMetrics metrics;

  StageTimers(NodeMetrics metrics) {
    this.metrics = metrics;
  }

  /** Returns a filter whose own time is measured, without that of the stages behind it. */
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

  /** Returns a handler that is measured until its reply, which for a stream is the first event. */
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
