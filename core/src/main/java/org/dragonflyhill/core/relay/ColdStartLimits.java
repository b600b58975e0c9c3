package org.dragonflyhill.core.relay;

import java.util.Collection;
import java.util.List;
import org.dragonflyhill.core.RendezvousHash;

/**
 * How many requests reach a cold runner in a second, and how the nodes divide them.
 *
 * <p>Only a few nodes send to a cold runner, so that their bursts of one request each and their
 * rates together stay within the bound. They are chosen by rendezvous hashing among all registered
 * nodes, not among those heard from lately: two nodes that do not hear each other would both take
 * the shares of all. A chosen node that is down leaves its share unused for the few seconds that a
 * runner is cold.
 *
 * @param overage factor of the rate that a runner tolerates, by which the bound exceeds it
 * @param slack requests per second that the bound allows in addition
 */
public record ColdStartLimits(double overage, double slack) {

  /** Limits that allow nothing beyond the rate that a runner tolerates. */
  public static final ColdStartLimits NONE = new ColdStartLimits(1, 0);

  /** Fraction of the bound that the nodes use together. */
  private static final double USED_SHARE = 0.9;

  /** Fraction of the room for bursts that is used; nodes may register while a runner is cold. */
  private static final double USED_BURST_SHARE = 0.5;

  /**
   * Returns the share of a node, in requests per second, 0 if it sends none to the runner.
   *
   * @param runner id of the runner
   * @param perSecond requests per second that the runner tolerates while it is cold
   * @param node name of the node
   * @param registered names of all registered nodes
   */
  public double share(String runner, double perSecond, String node, Collection<String> registered) {
    if (!registered.contains(node)) {
      return 0;
    }
    double usable = USED_SHARE * (perSecond * overage + slack);
    int senderCount = senderCount(perSecond, usable, registered.size());
    List<String> senders = RendezvousHash.rank(runner, registered).subList(0, senderCount);
    double rate = Math.min(perSecond, usable - senderCount);
    return senders.contains(node) ? Math.max(0, rate / senderCount) : 0;
  }

  private static int senderCount(double perSecond, double usable, int registered) {
    int fitting = (int) Math.floor((usable - perSecond) * USED_BURST_SHARE);
    return Math.max(1, Math.min(fitting, registered));
  }
}
