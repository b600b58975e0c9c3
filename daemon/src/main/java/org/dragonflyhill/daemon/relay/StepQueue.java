package org.dragonflyhill.daemon.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Runs steps of requests on an event loop, in the order in which they were added; those of requests
 * that have been started come before the first steps of others. The loop handles its input between
 * two slices of steps, so that it notices callers that leave although many requests wait for their
 * turn.
 *
 * <p>Not thread-safe: may be used on the event loop only.
 */
final class StepQueue implements Executor {

  /** Time after which the next step waits until the event loop has handled its input. */
  private static final Duration SLICE = Duration.ofMillis(50);

  private final EventLoop loop;
  private final LongSupplier nanoClock;
  private final Deque<Runnable> firstSteps = new ArrayDeque<>();
  private final Deque<Runnable> furtherSteps = new ArrayDeque<>();
  private boolean isScheduled;

  /**
   * Creates an empty queue.
   *
   * @param loop event loop that runs the steps
   * @param nanoClock clock in nanoseconds that never goes back
   */
  StepQueue(EventLoop loop, LongSupplier nanoClock) {
    this.loop = loop;
    this.nanoClock = nanoClock;
  }

  /** Adds the first step of a request. It runs after this method has returned. */
  void start(Runnable step) {
    firstSteps.add(step);
    schedule();
  }

  /** Adds a step of a request that has been started. It runs after this method has returned. */
  @Override
  public void execute(Runnable step) {
    furtherSteps.add(step);
    schedule();
  }

  private void schedule() {
    if (!isScheduled) {
      isScheduled = true;
      loop.execute(this::runSlice);
    }
  }

  int size() {
    return firstSteps.size() + furtherSteps.size();
  }

  private void runSlice() {
    long start = nanoClock.getAsLong();
    try {
      do {
        (furtherSteps.isEmpty() ? firstSteps : furtherSteps).remove().run();
      } while (size() > 0 && nanoClock.getAsLong() - start < SLICE.toNanos());
    } finally {
      isScheduled = size() > 0;
      if (isScheduled) {
        // Tasks that are due run in the next turn, other tasks still in this one.
        loop.schedule(this::runSlice, 0, TimeUnit.NANOSECONDS);
      }
    }
  }
}
