package org.dragonflyhill.standins.replay;

/**
 * A node's estimate of the load of a store's link: the last report, and the node's own imports
 * since.
 *
 * <p>Not thread-safe.
 */
final class LinkView {

  private long bytesPerSecond;
  private long freeAtMicros;
  private long reportedAtMicros;

  /** Creates the estimate of an idle link. */
  LinkView(long bytesPerSecond) {
    this.bytesPerSecond = bytesPerSecond;
  }

  void update(long reportedBytesPerSecond, long waitMicros, long atMicros) {
    if (atMicros >= reportedAtMicros) {
      bytesPerSecond = reportedBytesPerSecond;
      freeAtMicros = atMicros + waitMicros;
      reportedAtMicros = atMicros;
    }
  }

  void recordImport(long bytes, long nowMicros) {
    freeAtMicros = Math.max(freeAtMicros, nowMicros) + bytes * 1_000_000 / bytesPerSecond;
  }

  long bytesPerSecond() {
    return bytesPerSecond;
  }

  long waitMicros(long nowMicros) {
    return Math.max(0, freeAtMicros - nowMicros);
  }
}
