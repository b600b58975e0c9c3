package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * What other nodes say of themselves and of their load on runners.
 *
 * <p>Reports come often, late and with gaps; one that is old counts for nothing. Not thread-safe;
 * no argument may be null.
 */
public final class PeerTable {

  /** Age beyond which a report says nothing of a peer's load. */
  public static final Duration LOAD_MAX_AGE = Duration.ofMillis(700);

  /** Silence after which a peer is thought dead or cut off. */
  public static final Duration PEER_TIMEOUT = Duration.ofMillis(900);

  /** Age beyond which a peer no longer counts as one that shares the runners. */
  private static final Duration MEMBER_MAX_AGE = Duration.ofSeconds(10);

  private final Map<String, LatestReport> peers = new HashMap<>();

  /** Notes a report unless it is older than the last one of its sender. */
  public void update(PeerReport report, Instant now) {
    LatestReport last = peers.get(report.node());
    boolean isOld =
        last != null
            && last.report().incarnation() == report.incarnation()
            && last.report().sequence() >= report.sequence();
    if (!isOld) {
      peers.put(report.node(), new LatestReport(report, now));
    }
  }

  /** Returns the number of nodes that share the runners, this one included. */
  public int nodeCount(Instant now) {
    int nodes = 1;
    for (LatestReport seen : peers.values()) {
      if (isWithin(seen.at(), MEMBER_MAX_AGE, now)) {
        nodes++;
      }
    }
    return nodes;
  }

  /** Returns the requests of all other nodes at a runner. */
  public int running(String runner, Instant now) {
    return Math.toIntExact(sum(runner, now, PeerReport.Load::running));
  }

  /** Returns the tokens of all other nodes that a runner reads before a new request's. */
  public long prefillTokensAhead(String runner, int urgency, Instant now) {
    return sum(runner, now, load -> load.prefillTokensAhead(urgency));
  }

  /** Returns the memory of all other nodes at a runner that a new request cannot displace. */
  public long memoryTokensAhead(String runner, int urgency, Instant now) {
    return sum(runner, now, load -> load.memoryTokensAhead(urgency));
  }

  private long sum(String runner, Instant now, ToLongFunction<PeerReport.Load> part) {
    long sum = 0;
    for (LatestReport seen : peers.values()) {
      PeerReport.Load load = seen.report().loads().get(runner);
      if (load != null && isWithin(seen.at(), LOAD_MAX_AGE, now)) {
        sum += part.applyAsLong(load);
      }
    }
    return sum;
  }

  /** Returns whether any peer says that a runner is changing its weights. */
  public boolean isChangingWeights(String runner, Instant now) {
    for (LatestReport seen : peers.values()) {
      if (isWithin(seen.at(), LOAD_MAX_AGE, now)
          && seen.report().changingRunners().contains(runner)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a peer was heard of lately and can reach the log service. */
  public boolean isActive(String node, Instant now) {
    return Optional.ofNullable(peers.get(node))
        .filter(seen -> isWithin(seen.at(), PEER_TIMEOUT, now))
        .filter(seen -> seen.report().isLogReachable() && !seen.report().isStopping())
        .isPresent();
  }

  private static boolean isWithin(Instant at, Duration age, Instant now) {
    return Duration.between(at, now).compareTo(age) <= 0;
  }

  private record LatestReport(PeerReport report, Instant at) {}
}
