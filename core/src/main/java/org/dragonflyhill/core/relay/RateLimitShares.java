package org.dragonflyhill.core.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dragonflyhill.core.RendezvousHash;

/**
 * Divides the rate of requests that a runner accepts among the nodes.
 *
 * <p>Only a few nodes send to a runner with a limit: no more than it accepts requests in a second.
 * Since each of them may send one request after a pause, such bursts together stay within a
 * second's worth. Rendezvous hashing chooses them, with a preference for nodes that receive many
 * requests, and they share the limit in proportion to these. All nodes calculate the same shares
 * from the same reports.
 *
 * <p>Stateless and thread-safe; no argument may be null.
 */
public final class RateLimitShares {

  /**
   * Minimum rate at which requests are sent to a runner with a limit, in requests per second. Only
   * an answer tells that a limit of 0 has ended.
   */
  static final double MIN_PER_SECOND = 0.2;

  /** Requests per second added to what a node receives, so that an idle one has a share too. */
  private static final double BASE_DEMAND = 1;

  private RateLimitShares() {}

  /**
   * Returns the share of a node, in requests per second, 0 if it sends none to the runner.
   *
   * @param runner id of the runner
   * @param perSecond the runner's limit in requests per second
   * @param node name of the node
   * @param requestRates requests per second that each node, including this one, receives for the
   *     runner's service
   */
  public static double share(
      String runner, double perSecond, String node, Map<String, Double> requestRates) {
    double limit = Math.max(perSecond, MIN_PER_SECOND);
    int senderCount = (int) Math.max(1, Math.min(Math.floor(limit), requestRates.size()));
    Map<String, Double> demands = new HashMap<>(requestRates);
    demands.replaceAll((each, rate) -> rate + BASE_DEMAND);
    List<String> senders = RendezvousHash.rankInProportion(runner, demands).subList(0, senderCount);
    if (!senders.contains(node)) {
      return 0;
    }
    double total = senders.stream().mapToDouble(demands::get).sum();
    return limit * demands.get(node) / total;
  }
}
