package org.dragonflyhill.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts what goes between a node and its peers. Thread-safe. */
public final class PeerTraffic {

  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();
  private final LongAdder refusedConnections = new LongAdder();

  /** Returns the bytes of sent frames. */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /** Returns the bytes of received frames, without their lengths. */
  public long receivedBytes() {
    return receivedBytes.sum();
  }

  /** Returns the number of connections that were closed for what came over them. */
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
