package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * A report that a node sends to its peers about itself. Immutable; no component is null.
 *
 * @param node name of the node
 * @param zone availability zone of the node
 * @param incarnation number that identifies the process start of the node
 * @param sequence number of the report within the incarnation
 * @param isLogReachable whether the node can reach the log service
 * @param isStopping whether the node is shutting down
 * @param loads load of this node on each runner, by runner id
 * @param changingRunners ids of the runners that the node has ordered to change their weights
 * @param drainingRunners runners known to be draining before the host list says so: the start of
 *     their process in Unix milliseconds, by runner id
 * @param weightVersions weight versions observed at runners before the host list showed them, by
 *     runner id
 * @param announcedWeights ages of the weight versions announced lately, by model and version
 * @param holderReports age of the newest cache event of each runner and store that the node reads
 * @param nextPartChange sequence number that the node's next part change will have
 * @param topics how far the node has read the topics that it reads for its peers
 * @param runnerClockMillis the runners' clock at the time of the report, empty if unknown
 * @param crashReport prompt parts and requests under which runners crashed
 * @param requestRates requests per second that the node receives, by service
 * @param rateLimits rates of requests that runners accept, by runner id
 */
public record PeerReport(
    String node,
    String zone,
    long incarnation,
    long sequence,
    boolean isLogReachable,
    boolean isStopping,
    Map<String, Load> loads,
    Set<String> changingRunners,
    Map<String, Long> drainingRunners,
    Map<String, Long> weightVersions,
    Map<String, Map<Long, Duration>> announcedWeights,
    Map<Endpoint, Duration> holderReports,
    long nextPartChange,
    List<TopicProgress> topics,
    OptionalLong runnerClockMillis,
    CrashReport crashReport,
    Map<String, Double> requestRates,
    Map<String, RateLimitReport> rateLimits) {

  /** Creates a report with copies of the collections. */
  public PeerReport {
    loads = Map.copyOf(loads);
    changingRunners = Set.copyOf(changingRunners);
    drainingRunners = Map.copyOf(drainingRunners);
    weightVersions = Map.copyOf(weightVersions);
    announcedWeights = Map.copyOf(announcedWeights);
    holderReports = Map.copyOf(holderReports);
    topics = List.copyOf(topics);
    requestRates = Map.copyOf(requestRates);
    rateLimits = Map.copyOf(rateLimits);
  }

  /**
   * Load of a node on one runner.
   *
   * @param running number of running requests
   * @param prefillTokens prompt tokens that the runner has yet to prefill, by rank
   * @param memoryTokens KV memory that the requests may need, in tokens, by rank
   */
  public record Load(int running, List<Long> prefillTokens, List<Long> memoryTokens) {

    /** Creates a load with copies of the lists. */
    public Load {
      prefillTokens = List.copyOf(prefillTokens);
      memoryTokens = List.copyOf(memoryTokens);
    }

    /** Returns the tokens that the runner prefills before those of a new request of a rank. */
    public long prefillTokensAhead(int rank) {
      return RankedTokens.upTo(prefillTokens, rank);
    }

    /** Returns the KV memory, in tokens, that a new request of a rank cannot preempt. */
    public long memoryTokensAhead(int rank) {
      return RankedTokens.upTo(memoryTokens, rank);
    }
  }
}
