package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The latest reports of all other nodes about themselves and their load on runners.
 *
 * <p>Reports arrive often, but may be late or lost, so old ones are ignored. Not thread-safe; no
 * argument may be null.
 */
public final class PeerTable {

  /** Minimum of the maximum age of a report whose load and weight changes are counted. */
  public static final Duration LOAD_MAX_AGE = Duration.ofMillis(700);

  /** Minimum of the time without a report after which a peer is considered dead or disconnected. */
  public static final Duration PEER_TIMEOUT = Duration.ofMillis(900);

  /** Number of report periods that a load counts and after which a peer is considered dead. */
  private static final int PERIODS_UNTIL_TIMEOUT = 4;

  /** Maximum age of the last report of a peer that counts as a node sharing the runners. */
  private static final Duration MEMBER_MAX_AGE = Duration.ofSeconds(10);

  private final Map<String, LatestReport> peers = new HashMap<>();

  /** Sums over all peers; a selection reads them for each runner at the same time. */
  private Optional<PeerLoads> loads = Optional.empty();

  /**
   * Stores a report unless it is older than the latest one from the same node incarnation. Returns
   * whether it was stored.
   */
  public boolean update(PeerReport report, Instant now) {
    LatestReport last = peers.get(report.node());
    boolean isOutdated =
        last != null
            && last.report().incarnation() == report.incarnation()
            && last.report().sequence() >= report.sequence();
    if (!isOutdated) {
      peers.put(report.node(), new LatestReport(report, now));
      loads = Optional.empty();
    }
    return !isOutdated;
  }

  /** Returns the peers that have reported recently and are not stopping. */
  public List<HolderAssignment.Peer> livePeers(Instant now) {
    Duration timeout = atLeast(PEER_TIMEOUT);
    return peers.values().stream()
        .filter(latest -> isWithin(latest.receivedAt(), timeout, now))
        .filter(latest -> !latest.report().isStopping())
        .map(latest -> new HolderAssignment.Peer(latest.report().node(), latest.report().zone()))
        .toList();
  }

  /** Returns the names of the live peers that can reach the log service. */
  public List<String> peersWithLog(Instant now) {
    return peers.keySet().stream()
        .filter(node -> isActive(node, peers.get(node).report().incarnation(), now))
        .toList();
  }

  /** Removes the peers that have not reported for so long that they count as gone. */
  public void removeGone(Instant now) {
    peers.values().removeIf(latest -> !isWithin(latest.receivedAt(), MEMBER_MAX_AGE, now));
    loads = Optional.empty();
  }

  /** Returns a time limit, extended if reports are sent so seldom that it would be too short. */
  private Duration atLeast(Duration limit) {
    Duration periods =
        Duration.ofNanos(
            PeerSchedule.REPORTS.period(peers.size()).toNanos() * PERIODS_UNTIL_TIMEOUT);
    return periods.compareTo(limit) > 0 ? periods : limit;
  }

  /** Returns whether there are so many peers that each reports its load only now and then. */
  public boolean areLoadsOld() {
    return PeerSchedule.REPORTS.groups(peers.size()) > 1;
  }

  /** Returns the number of nodes that share the runners, including this one. */
  public int nodeCount(Instant now) {
    int nodes = 1;
    for (LatestReport latest : peers.values()) {
      if (isWithin(latest.receivedAt(), MEMBER_MAX_AGE, now)) {
        nodes++;
      }
    }
    return nodes;
  }

  /** Returns the requests per second that each of the other nodes receives for a service. */
  public Map<String, Double> requestRates(String service, Instant now) {
    Map<String, Double> rates = new HashMap<>();
    for (LatestReport latest : peers.values()) {
      if (isWithin(latest.receivedAt(), MEMBER_MAX_AGE, now)) {
        PeerReport report = latest.report();
        rates.put(report.node(), report.requestRates().getOrDefault(service, 0.0));
      }
    }
    return rates;
  }

  /** Returns the number of requests that other nodes have running at a runner. */
  public int running(String runner, Instant now) {
    return loads(now).running(runner);
  }

  /**
   * Returns the prompt tokens of other nodes that a runner prefills before those of a new request.
   *
   * @param runner id of the runner
   * @param rank rank of the new request
   * @param now present time
   */
  public long prefillTokensAhead(String runner, int rank, Instant now) {
    return loads(now).prefillTokensAhead(runner, rank);
  }

  /**
   * Returns the KV memory, in tokens, that requests of other nodes may need at a runner and that a
   * new request cannot preempt.
   *
   * @param runner id of the runner
   * @param rank rank of the new request
   * @param now present time
   */
  public long memoryTokensAhead(String runner, int rank, Instant now) {
    return loads(now).memoryTokensAhead(runner, rank);
  }

  /** Returns whether any peer reports that it has ordered a runner to change its weights. */
  public boolean isChangingWeights(String runner, Instant now) {
    return loads(now).isChangingWeights(runner);
  }

  private PeerLoads loads(Instant now) {
    if (loads.filter(known -> known.at().equals(now)).isEmpty()) {
      PeerLoads sums = new PeerLoads(now);
      Duration maxAge = atLeast(LOAD_MAX_AGE);
      for (LatestReport latest : peers.values()) {
        if (isWithin(latest.receivedAt(), maxAge, now)) {
          sums.add(latest.report());
        }
      }
      loads = Optional.of(sums);
    }
    return loads.get();
  }

  /**
   * Returns whether a process has reported recently, can reach the log service and is not stopping.
   * A restarted node is another process, which knows nothing of the orders of the one before.
   *
   * @param node name of the node
   * @param incarnation number of the process start
   * @param now present time
   */
  public boolean isActive(String node, long incarnation, Instant now) {
    return Optional.ofNullable(peers.get(node))
        .filter(latest -> latest.report().incarnation() == incarnation)
        .filter(latest -> isWithin(latest.receivedAt(), atLeast(PEER_TIMEOUT), now))
        .filter(latest -> latest.report().isLogReachable() && !latest.report().isStopping())
        .isPresent();
  }

  private static boolean isWithin(Instant at, Duration age, Instant now) {
    return Duration.between(at, now).compareTo(age) <= 0;
  }

  private record LatestReport(PeerReport report, Instant receivedAt) {}
}
