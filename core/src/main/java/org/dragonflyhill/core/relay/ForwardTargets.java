package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dragonflyhill.core.RendezvousHash;

/**
 * Chooses the peer that serves a request of a node which is cut off from the runners. Peers that
 * are cut off themselves say so and are left out; the others share the load.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class ForwardTargets {

  /** Maximum number of requests of this node that a peer serves at the same time. */
  public static final int MAX_REQUESTS_PER_PEER = 200;

  /** Time for which it counts that a peer is cut off; it says so with each of its reports. */
  private static final Duration OUT_OF_REACH_MAX_AGE = Duration.ofMillis(1_500);

  private final Map<String, Integer> requests = new HashMap<>();
  private final Map<String, OutOfReach> outOfReach = new HashMap<>();

  /** Records the services whose runners a peer cannot reach. */
  public void recordOutOfReach(String peer, Set<String> services, Instant now) {
    outOfReach.values().removeIf(each -> each.isOutdated(now));
    outOfReach.put(peer, new OutOfReach(Set.copyOf(services), now));
  }

  /**
   * Returns the peer with the fewest requests of this node.
   *
   * @param service service that the request is for
   * @param requestId id of the request, which decides between equal peers
   * @param peers the live peers
   * @param tried peers that the request was sent to without success
   * @param now present time
   */
  public Optional<String> choose(
      String service,
      String requestId,
      Collection<HolderAssignment.Peer> peers,
      Set<String> tried,
      Instant now) {
    List<String> candidates =
        peers.stream()
            .map(HolderAssignment.Peer::node)
            .filter(peer -> !tried.contains(peer))
            .filter(peer -> reaches(peer, service, now))
            .filter(peer -> requests(peer) < MAX_REQUESTS_PER_PEER)
            .toList();
    Optional<String> best = Optional.empty();
    for (String peer : RendezvousHash.rank(requestId, candidates)) {
      if (best.isEmpty() || requests(peer) < requests(best.get())) {
        best = Optional.of(peer);
      }
    }
    return best;
  }

  private boolean reaches(String peer, String service, Instant now) {
    OutOfReach reported = outOfReach.get(peer);
    return reported == null || reported.isOutdated(now) || !reported.services().contains(service);
  }

  /** Records that a request is sent to a peer. */
  public void recordStarted(String peer) {
    requests.merge(peer, 1, Integer::sum);
  }

  /** Records that a request that was sent to a peer has ended. */
  public void recordEnded(String peer) {
    requests.computeIfPresent(peer, (any, count) -> count > 1 ? count - 1 : null);
  }

  /** Returns the number of requests of this node that a peer serves. */
  public int requests(String peer) {
    return requests.getOrDefault(peer, 0);
  }

  private record OutOfReach(Set<String> services, Instant reportedAt) {

    private boolean isOutdated(Instant now) {
      return Duration.between(reportedAt, now).compareTo(OUT_OF_REACH_MAX_AGE) > 0;
    }
  }
}
