package org.dragonflyhill.standins.replay;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs scheduled actions in order of simulated time, without waiting between them.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class EventLoop {

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
  private long sequence;

  /** Schedules an action, after those that were scheduled before for the same time. */
  void schedule(long atMicros, Action action) {
    events.add(new Event(atMicros, sequence++, action));
  }

  /** Runs until no action is scheduled any more. */
  void run() {
    while (!events.isEmpty()) {
      Event event = events.poll();
      event.action().run(event.atMicros());
    }
  }

  /** A scheduled action. */
  @FunctionalInterface
  interface Action {
    /** Runs the action; its time is in microseconds since the start of the trace. */
    void run(long nowMicros);
  }

  private record Event(long atMicros, long sequence, Action action) {}
}
