package org.dragonflyhill.standins.replay;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs actions in order of their time; idle time between them costs nothing.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class EventLoop {

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
  private long sequence;

  /** Has an action run at a time, after those that were given earlier for the same time. */
  void schedule(long atMicros, Action action) {
    events.add(new Event(atMicros, sequence++, action));
  }

  /** Runs until no action is left. */
  void run() {
    while (!events.isEmpty()) {
      Event event = events.poll();
      event.action().run(event.atMicros());
    }
  }

  /** What happens at a time. */
  @FunctionalInterface
  interface Action {
    /** Runs the action at its time, in microseconds since the start of the trace. */
    void run(long nowMicros);
  }

  private record Event(long atMicros, long sequence, Action action) {}
}
