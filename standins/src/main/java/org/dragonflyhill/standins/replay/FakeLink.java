package org.dragonflyhill.standins.replay;

/**
 * A link: a bandwidth that its transfers share, the more pressing class first and one after another
 * within a class.
 *
 * <p>A transfer that starts does not move the end of those that were already told theirs; later
 * ones of its own and lower classes wait for it. Not thread-safe; no argument may be null.
 */
final class FakeLink {

  private final long[] freeAtMicros = new long[Priority.values().length];
  private double bytesPerMicro;
  private long busyMicros;

  /** Creates an idle link. */
  FakeLink(long bytesPerSecond) {
    bytesPerMicro = bytesPerSecond / 1e6;
  }

  /** Queues a transfer and returns when it ends. */
  long transfer(long bytes, Priority priority, long nowMicros) {
    long duration = (long) (bytes / bytesPerMicro);
    busyMicros += duration;
    for (int level = priority.ordinal(); level < freeAtMicros.length; level++) {
      freeAtMicros[level] = Math.max(freeAtMicros[level], nowMicros) + duration;
    }
    return freeAtMicros[priority.ordinal()];
  }

  /** Returns how long a transfer that starts now waits for others. */
  long waitMicros(Priority priority, long nowMicros) {
    return Math.max(0, freeAtMicros[priority.ordinal()] - nowMicros);
  }

  /** Slows the link down to a part of its bandwidth. */
  void scaleBandwidth(double factor) {
    bytesPerMicro *= factor;
  }

  /** Returns the present bandwidth. */
  long bytesPerSecond() {
    return (long) (bytesPerMicro * 1e6);
  }

  /** Returns for how long transfers used the link. */
  long busyMicros() {
    return busyMicros;
  }

  /** Classes of transfers, the most pressing first. */
  enum Priority {
    URGENT,
    ORDINARY,
    BACKGROUND
  }
}
