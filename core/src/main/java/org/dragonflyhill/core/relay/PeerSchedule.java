package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides which peers a node sends to at each tick. The number of peers per tick is bounded, so the
 * cost of a node does not grow with the number of nodes; with more peers than that, each hears from
 * it less often.
 */
public enum PeerSchedule {

  /** Reports of load. */
  REPORTS(Duration.ofMillis(150), 20),

  /**
   * Part changes, if there are any. Until a node knows where a prompt is being prefilled, it may
   * have it prefilled once more elsewhere.
   */
  PART_CHANGES(Duration.ofMillis(30), 4);

  private final Duration tick;
  private final int peersPerTick;

  PeerSchedule(Duration tick, int peersPerTick) {
    this.tick = tick;
    this.peersPerTick = peersPerTick;
  }

  /** Returns the time between two ticks. */
  public Duration tick() {
    return tick;
  }

  /** Returns the maximum number of peers that a node sends to at a tick. */
  public int peersPerTick() {
    return peersPerTick;
  }

  /**
   * Returns the peers that a node sends to at a tick.
   *
   * @param peers all peers, in an order that does not change from tick to tick
   * @param tickNumber number of the tick
   */
  public <T> List<T> due(List<T> peers, long tickNumber) {
    int groups = groups(peers.size());
    List<T> due = new ArrayList<>();
    for (int i = (int) Math.floorMod(tickNumber, groups); i < peers.size(); i += groups) {
      due.add(peers.get(i));
    }
    return due;
  }

  /** Returns the number of ticks between two messages to the same peer. */
  public int groups(int peers) {
    return Math.max(1, Math.ceilDiv(peers, peersPerTick));
  }

  /** Returns the time between two messages to the same peer. */
  public Duration period(int peers) {
    // Duration.multipliedBy calculates with BigDecimal, which is too slow for each request.
    return Duration.ofNanos(tick.toNanos() * groups(peers));
  }
}
