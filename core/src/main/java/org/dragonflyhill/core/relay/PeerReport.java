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
 * @param isLogReachable whether it reaches the log service
 * @param isStopping whether it is being stopped
 * @param loads its own load on runners, by their ids
 * @param changingRunners runners that it has ordered to change their weights
 * @param weightVersions weight version that runners were seen to have, by their ids
 */
public record PeerReport(
    String node,
    long incarnation,
    long sequence,
    boolean isLogReachable,
    boolean isStopping,
    Map<String, Load> loads,
    Set<String> changingRunners,
    Map<String, Long> weightVersions) {

  /** Copies the collections. */
  public PeerReport {
    loads = Map.copyOf(loads);
    changingRunners = Set.copyOf(changingRunners);
    weightVersions = Map.copyOf(weightVersions);
  }

  /**
   * Load on one runner.
   *
   * @param running requests there
   * @param prefillTokens prompt tokens that it has yet to read, by rank of urgency
   * @param memoryTokens KV memory that the requests may need, in tokens, by rank of urgency
   */
  public record Load(int running, List<Long> prefillTokens, List<Long> memoryTokens) {

    /** Copies the lists. */
    public Load {
      prefillTokens = List.copyOf(prefillTokens);
      memoryTokens = List.copyOf(memoryTokens);
    }

    /** Returns the tokens that the runner reads before a new request's. */
    public long prefillTokensAhead(int urgency) {
      return RankedTokens.upTo(prefillTokens, urgency);
    }

    /** Returns the memory of requests that a new one cannot displace. */
    public long memoryTokensAhead(int urgency) {
      return RankedTokens.upTo(memoryTokens, urgency);
    }
  }
}
