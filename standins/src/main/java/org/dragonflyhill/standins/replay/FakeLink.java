package org.dragonflyhill.standins.replay;

/**
 * A simulated network link, which runs transfers by priority, and one after another within a
 * priority.
 *
 * <p>The end of a transfer is fixed when it is queued. A transfer delays only those of the same or
 * a lower priority that are queued after it. Not thread-safe; no argument may be null.
 */
final class FakeLink {

  private final long[] freeAtMicros = new long[Priority.values().length];
  private double bytesPerMicro;
  private long busyMicros;

  /** Creates an idle link. */
  FakeLink(long bytesPerSecond) {
    bytesPerMicro = bytesPerSecond / 1e6;
  }

  /** Queues a transfer and returns the time of its end, in microseconds. */
  long transfer(long bytes, Priority priority, long nowMicros) {
    long duration = (long) (bytes / bytesPerMicro);
    busyMicros += duration;
    for (int level = priority.ordinal(); level < freeAtMicros.length; level++) {
      freeAtMicros[level] = Math.max(freeAtMicros[level], nowMicros) + duration;
    }
    return freeAtMicros[priority.ordinal()];
  }

  /** Returns how long a transfer that is queued now waits before it starts. */
  long waitMicros(Priority priority, long nowMicros) {
    return Math.max(0, freeAtMicros[priority.ordinal()] - nowMicros);
  }

  /** Multiplies the bandwidth by a factor. */
  void scaleBandwidth(double factor) {
    bytesPerMicro *= factor;
  }

  /** Returns the current bandwidth. */
  long bytesPerSecond() {
    return (long) (bytesPerMicro * 1e6);
  }

  /** Returns the total duration of all queued transfers. */
  long busyMicros() {
    return busyMicros;
  }

  /** Priorities of transfers, the highest first. */
  enum Priority {
    URGENT,
    ORDINARY,
    BACKGROUND
  }
}
