package org.dragonflyhill.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes sent to peers and received from them, and refused connections. Thread-safe. */
public final class PeerTraffic {

  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();
  private final LongAdder refusedConnections = new LongAdder();

  /** Returns the number of bytes in sent frames. */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /** Returns the number of bytes in received frames, without their length fields. */
  public long receivedBytes() {
    return receivedBytes.sum();
  }

  /**
   * Returns the number of connections that were closed because there were too many, or because of
   * an error such as an invalid message or a failed authentication.
   */
  public long refusedConnections() {
    return refusedConnections.sum();
  }

  byte[] countSent(byte[] frame) {
    sentBytes.add(frame.length);
    return frame;
  }

  byte[] countReceived(byte[] frame) {
    receivedBytes.add(frame.length);
    return frame;
  }

  void countRefusedConnection() {
    refusedConnections.increment();
  }
}
