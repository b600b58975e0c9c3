package org.dragonflyhill.core.relay;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Datagrams for peers that ask for what they have missed, sent one peer after the other and no
 * faster than a limit. Peers miss datagrams when a network link is full, and would otherwise ask
 * again for what fills it.
 *
 * <p>Not thread-safe; no argument may be null.
 *
 * @param <P> identifies a peer
 */
public final class ResendQueue<P> {

  private final Map<P, Supplier<List<byte[]>>> waiting = new LinkedHashMap<>();
  private final Deque<Datagram<P>> current = new ArrayDeque<>();
  private final ByteAllowance allowance;

  /**
   * Creates an empty queue.
   *
   * @param bytesPerSecond limit of what is sent
   * @param now present time
   */
  public ResendQueue(double bytesPerSecond, Instant now) {
    allowance = new ByteAllowance(bytesPerSecond, now);
  }

  /**
   * Adds an answer to a peer. It replaces one that has not begun to be sent; while one is being
   * sent, the peer has to ask again.
   *
   * @param peer the peer
   * @param datagrams creates the datagrams when their turn comes
   */
  public void add(P peer, Supplier<List<byte[]>> datagrams) {
    if (current.isEmpty() || !current.getFirst().peer().equals(peer)) {
      waiting.put(peer, datagrams);
    }
  }

  /** Returns the number of peers that have not got their whole answer yet. */
  public int size() {
    return waiting.size() + (current.isEmpty() ? 0 : 1);
  }

  /** Removes and returns the datagrams that may be sent now. */
  public List<Datagram<P>> take(Instant now) {
    List<Datagram<P>> due = new ArrayList<>();
    while (size() > 0 && allowance.isAvailable(now)) {
      if (current.isEmpty()) {
        startNext();
      } else {
        Datagram<P> next = current.removeFirst();
        allowance.spend(next.bytes().length);
        due.add(next);
      }
    }
    return due;
  }

  private void startNext() {
    P peer = waiting.keySet().iterator().next();
    waiting.remove(peer).get().forEach(bytes -> current.add(new Datagram<>(peer, bytes)));
  }

  /**
   * A datagram for a peer.
   *
   * @param peer the peer
   * @param bytes contents of the datagram
   */
  public record Datagram<P>(P peer, byte[] bytes) {}
}
