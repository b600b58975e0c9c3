package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides which peers a node reports to at each tick. The number of reports per tick is bounded, so
 * the cost of a node does not grow with the number of nodes; with more peers than that, each gets a
 * report less often.
 */
public final class PeerSchedule {

  /** Time between two ticks at which reports are sent. */
  public static final Duration TICK = Duration.ofMillis(150);

  /**
   * Time between two ticks at which part changes are sent, if there are any. Until a node knows
   * where a prompt is being prefilled, it may have it prefilled once more elsewhere.
   */
  public static final Duration CHANGES_TICK = Duration.ofMillis(30);

  /** Maximum number of peers that get a report at a tick. */
  public static final int MAX_REPORTS_PER_TICK = 20;

  private PeerSchedule() {}

  /**
   * Returns the peers that get a report at a tick.
   *
   * @param peers all peers, in an order that does not change from tick to tick
   * @param tick number of the tick
   */
  public static <T> List<T> due(List<T> peers, long tick) {
    int groups = groups(peers.size());
    List<T> due = new ArrayList<>();
    for (int i = (int) Math.floorMod(tick, groups); i < peers.size(); i += groups) {
      due.add(peers.get(i));
    }
    return due;
  }

  /** Returns the time between two reports to the same peer, for a number of peers. */
  public static Duration period(int peers) {
    return TICK.multipliedBy(groups(peers));
  }

  private static int groups(int peers) {
    return Math.max(1, Math.ceilDiv(peers, MAX_REPORTS_PER_TICK));
  }
}
