package org.dragonflyhill.daemon.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Runs tasks of a node again and again on its event loop. */
public final class PeriodicTask {

  private PeriodicTask() {}

  /**
   * Runs a task after each interval. Netty would not run it again once it has thrown an exception,
   * so exceptions are logged instead. Errors are logged too: when direct memory was used up for a
   * moment, the node would otherwise enforce no deadlines until it is started again.
   */
  public static void schedule(EventLoop loop, Duration interval, DecisionLog log, Runnable task) {
    loop.scheduleWithFixedDelay(
        () -> run(task, log), interval.toMillis(), interval.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static void run(Runnable task, DecisionLog log) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      StackTraceElement[] trace = e.getStackTrace();
      log.info(
          "periodic_task_failed",
          event ->
              event
                  .with("error", e.toString())
                  .with("at", trace.length == 0 ? "" : trace[0].toString()));
    }
  }
}
