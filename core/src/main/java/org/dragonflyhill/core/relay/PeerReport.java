package org.dragonflyhill.core.relay;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a node tells other nodes about itself. Immutable; no component is null.
 *
 * @param node its name
 * @param incarnation number of its start, new for each
 * @param sequence number of the report within the incarnation
 * @param isLogInReach whether it reaches the log service
 * @param isStopping whether it is being stopped
 * @param loads its own load on runners, by their ids
 * @param changing runners that it has ordered to change their weights
 * @param weights weight version that runners were seen to have, by their ids
 */
public record PeerReport(
    String node,
    long incarnation,
    long sequence,
    boolean isLogInReach,
    boolean isStopping,
    Map<String, Load> loads,
    Set<String> changing,
    Map<String, Long> weights) {

  /** Copies the collections. */
  public PeerReport {
    loads = Map.copyOf(loads);
    changing = Set.copyOf(changing);
    weights = Map.copyOf(weights);
  }

  /**
   * Load on one runner.
   *
   * @param running requests there
   * @param unreadTokens prompt tokens that it has yet to read, by rank of urgency
   * @param memoryTokens KV memory that the requests may need, in tokens, by rank of urgency
   */
  public record Load(int running, List<Long> unreadTokens, List<Long> memoryTokens) {

    /** Copies the lists. */
    public Load {
      unreadTokens = List.copyOf(unreadTokens);
      memoryTokens = List.copyOf(memoryTokens);
    }

    /** Returns the tokens that the runner reads before a new request's. */
    public long unreadBefore(int urgency) {
      return RankedTokens.upTo(unreadTokens, urgency);
    }

    /** Returns the memory of requests that a new one cannot displace. */
    public long memoryBefore(int urgency) {
      return RankedTokens.upTo(memoryTokens, urgency);
    }
  }
}
