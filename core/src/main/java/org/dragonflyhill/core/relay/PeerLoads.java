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
public final class PeerLoads {

  /** Age beyond which a report says nothing of a peer's load. */
  public static final Duration LOAD_VALID = Duration.ofMillis(700);

  /** Silence after which a peer is thought dead or cut off. */
  public static final Duration SILENCE = Duration.ofMillis(900);

  /** Age beyond which a peer no longer counts as one that shares the runners. */
  private static final Duration MEMBER_FOR = Duration.ofSeconds(10);

  private final Map<String, Seen> peers = new HashMap<>();

  /** Notes a report unless it is older than the last one of its sender. */
  public void heard(PeerReport report, Instant now) {
    Seen last = peers.get(report.node());
    boolean isOld =
        last != null
            && last.report().incarnation() == report.incarnation()
            && last.report().sequence() >= report.sequence();
    if (!isOld) {
      peers.put(report.node(), new Seen(report, now));
    }
  }

  /** Returns the number of nodes that share the runners, this one included. */
  public int nodes(Instant now) {
    int nodes = 1;
    for (Seen seen : peers.values()) {
      if (isWithin(seen.at(), MEMBER_FOR, now)) {
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
  public long unreadBefore(String runner, int urgency, Instant now) {
    return sum(runner, now, load -> load.unreadBefore(urgency));
  }

  /** Returns the memory of all other nodes at a runner that a new request cannot displace. */
  public long memoryBefore(String runner, int urgency, Instant now) {
    return sum(runner, now, load -> load.memoryBefore(urgency));
  }

  private long sum(String runner, Instant now, ToLongFunction<PeerReport.Load> part) {
    long sum = 0;
    for (Seen seen : peers.values()) {
      PeerReport.Load load = seen.report().loads().get(runner);
      if (load != null && isWithin(seen.at(), LOAD_VALID, now)) {
        sum += part.applyAsLong(load);
      }
    }
    return sum;
  }

  /** Returns whether any peer says that a runner is changing its weights. */
  public boolean isChanging(String runner, Instant now) {
    for (Seen seen : peers.values()) {
      if (isWithin(seen.at(), LOAD_VALID, now) && seen.report().changing().contains(runner)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a peer was heard of lately and can reach the log service. */
  public boolean isActive(String node, Instant now) {
    return Optional.ofNullable(peers.get(node))
        .filter(seen -> isWithin(seen.at(), SILENCE, now))
        .filter(seen -> seen.report().isLogInReach() && !seen.report().isStopping())
        .isPresent();
  }

  private static boolean isWithin(Instant at, Duration age, Instant now) {
    return Duration.between(at, now).compareTo(age) <= 0;
  }

  private record Seen(PeerReport report, Instant at) {}
}
