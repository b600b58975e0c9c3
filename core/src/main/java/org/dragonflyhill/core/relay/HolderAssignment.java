package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dragonflyhill.core.RendezvousHash;

/**
 * Decides whether this node reads the cache events of a runner or store, called holder here. One
 * live node is assigned to each holder by rendezvous hashing, in the holder's availability zone if
 * a node is alive there, and passes the events on to the others.
 *
 * <p>A node whose entries of a holder are not kept up to date reads the holder itself: the assigned
 * node may be frozen or cut off, or nodes may differ about who is alive.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class HolderAssignment {

  /**
   * Time after which a node reads a holder itself if the assigned node does not report on it. It is
   * longer than the time in which a dead node is noticed and another one takes over.
   */
  public static final Duration TAKEOVER_TIMEOUT = Duration.ofMillis(2_500);

  private final String node;
  private final String zone;
  private final Instant startedAt;
  private final Map<Endpoint, Instant> reportedAt = new HashMap<>();
  private final Map<Endpoint, Instant> readAt = new HashMap<>();

  /** Peers for which {@link #assigned} was calculated; they change seldom. */
  private List<Peer> assignedAmong = List.of();

  /** Whether this node is assigned to a holder, given as endpoint and zone. */
  private final Map<Endpoint, Map<String, Boolean>> assigned = new HashMap<>();

  /**
   * Creates an assignment without reports.
   *
   * @param node name of this node
   * @param zone availability zone of this node
   * @param now present time
   */
  public HolderAssignment(String node, String zone, Instant now) {
    this.node = node;
    this.zone = zone;
    startedAt = now;
  }

  /** Records that a peer reported a holder's changes up to a time. */
  public void recordReport(Endpoint holder, Instant at) {
    reportedAt.merge(holder, at, (known, other) -> other.isAfter(known) ? other : known);
  }

  /** Records that this node has read a holder's changes up to now. */
  public void recordRead(Endpoint holder, Instant now) {
    readAt.put(holder, now);
  }

  /** Returns the age of the latest read of each holder that this node reads. */
  public Map<Endpoint, Duration> recentReads(Instant now) {
    Map<Endpoint, Duration> recent = new HashMap<>();
    readAt.forEach(
        (holder, at) -> {
          Duration age = Duration.between(at, now);
          if (age.compareTo(PartDirectory.FRESHNESS_TIMEOUT) <= 0) {
            recent.put(holder, age);
          }
        });
    return recent;
  }

  /** Removes a holder that is not listed any more. */
  public void forget(Endpoint holder) {
    reportedAt.remove(holder);
    readAt.remove(holder);
    assigned.remove(holder);
  }

  /**
   * Returns whether this node reads a holder.
   *
   * @param holder the runner or store
   * @param holderZone its availability zone
   * @param livePeers the live peers and their zones
   * @param now present time
   */
  public boolean isReadHere(
      Endpoint holder, String holderZone, Collection<Peer> livePeers, Instant now) {
    Instant lastReport = reportedAt.computeIfAbsent(holder, any -> now);
    if (livePeers.isEmpty()) {
      // Right after its start a node knows no peers yet.
      return !now.isBefore(startedAt.plus(TAKEOVER_TIMEOUT));
    }
    if (!assignedAmong.equals(livePeers)) {
      assignedAmong = List.copyOf(livePeers);
      assigned.clear();
    }
    return assigned
            .computeIfAbsent(holder, any -> new HashMap<>())
            .computeIfAbsent(holderZone, any -> isAssigned(holder, holderZone, livePeers))
        || !now.isBefore(lastReport.plus(TAKEOVER_TIMEOUT));
  }

  private boolean isAssigned(Endpoint holder, String holderZone, Collection<Peer> livePeers) {
    List<Peer> nodes = new ArrayList<>(livePeers);
    nodes.add(new Peer(node, zone));
    List<String> near =
        nodes.stream().filter(each -> each.zone().equals(holderZone)).map(Peer::node).toList();
    List<String> candidates = near.isEmpty() ? nodes.stream().map(Peer::node).toList() : near;
    return RendezvousHash.first(holder.toString(), candidates).equals(node);
  }

  /**
   * A live peer.
   *
   * @param node its name
   * @param zone its availability zone
   */
  public record Peer(String node, String zone) {

    @Override
    public boolean equals(Object other) {
      // Written out, since the generated method is several times slower without the C2 compiler,
      // which nodes do not use.
      return other instanceof Peer peer && node.equals(peer.node) && zone.equals(peer.zone);
    }

    @Override
    public int hashCode() {
      return 31 * node.hashCode() + zone.hashCode();
    }
  }
}
