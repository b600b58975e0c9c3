package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.dragonflyhill.core.RendezvousHash;

/**
 * Decides whether this node reads the cache events of a runner or store, called holder here. One
 * live node is assigned to each holder by rendezvous hashing, in the holder's availability zone if
 * a node is alive there, and passes the events on to the others.
 *
 * <p>If no node reports to have read a holder for some time, one more node reads it, the next in
 * the order by which nodes are assigned. The assigned node may be frozen, cut off or behind a slow
 * link, or nodes may differ about who is alive. Each further reader waits twice as long as the one
 * before: a holder that answers nobody, or slow links, would otherwise make all nodes read, and
 * their reads would slow the links down further.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class HolderAssignment {

  /**
   * Time without a read of a holder after which a second node reads it. It is longer than the time
   * in which a dead node is noticed and another one takes over.
   */
  public static final Duration TAKEOVER_TIMEOUT = Duration.ofMillis(2_500);

  /** Age of the latest read of a holder that stands for none. */
  private static final Duration NEVER_READ = Duration.ofMinutes(1);

  /**
   * Time in which a node begins to read a holder after it has become due, beyond the time until its
   * next report.
   */
  private static final Duration TAKEOVER_STEP = Duration.ofMillis(300);

  /** Limit of the doubling of the wait for one more reader. */
  private static final int MAX_DOUBLINGS = 6;

  private final String node;
  private final String zone;
  private final Instant startedAt;

  /** Time of the latest read of each holder by a peer, or at which the holder became known. */
  private final Map<Endpoint, Instant> reportedAt = new HashMap<>();

  /** Time of the latest read by each peer that reads a holder. */
  private final Map<Endpoint, Map<String, Instant>> readers = new HashMap<>();

  /** Time at which a holder got one more reader. */
  private final Map<Endpoint, Instant> readerAddedAt = new HashMap<>();

  private final Map<String, Set<Endpoint>> holdersByPeer = new HashMap<>();
  private final Set<Endpoint> readHere = new HashSet<>();

  /** The holders that this node reads although another node is assigned to them. */
  private final Set<Endpoint> takenOver = new HashSet<>();

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

  /**
   * Records which holders a peer reads.
   *
   * @param peer name of the peer
   * @param ages the age of its latest read of each of them
   * @param now present time
   */
  public void recordReports(String peer, Map<Endpoint, Duration> ages, Instant now) {
    Set<Endpoint> before = holdersByPeer.getOrDefault(peer, Set.of());
    before.stream().filter(h -> !ages.containsKey(h)).forEach(h -> removeReader(h, peer));
    holdersByPeer.put(peer, Set.copyOf(ages.keySet()));
    ages.forEach(
        (holder, age) -> {
          Instant at = now.minus(age);
          reportedAt.merge(holder, at, HolderAssignment::later);
          Instant known = readers.computeIfAbsent(holder, any -> new HashMap<>()).put(peer, at);
          if (known == null) {
            readerAddedAt.put(holder, now);
          }
        });
  }

  private void removeReader(Endpoint holder, String peer) {
    readers.getOrDefault(holder, new HashMap<>()).remove(peer);
  }

  private static Instant later(Instant one, Instant other) {
    return one.isAfter(other) ? one : other;
  }

  /** Records that this node has read a holder's changes up to now. */
  public void recordRead(Endpoint holder, Instant now) {
    readAt.put(holder, now);
  }

  /** Returns the age of the latest read of each holder that this node reads or has just read. */
  public Map<Endpoint, Duration> reads(Instant now) {
    Map<Endpoint, Duration> reads = new HashMap<>(recentReads(now));
    readHere.forEach(holder -> reads.putIfAbsent(holder, ageOfRead(holder, now)));
    return reads;
  }

  /** Returns the age of the latest read of each holder that this node has read recently. */
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

  private Duration ageOfRead(Endpoint holder, Instant now) {
    Instant at = readAt.get(holder);
    return at == null ? NEVER_READ : Duration.between(at, now);
  }

  /** Removes a holder that is not listed any more. */
  public void forget(Endpoint holder) {
    reportedAt.remove(holder);
    readers.remove(holder);
    readerAddedAt.remove(holder);
    readHere.remove(holder);
    takenOver.remove(holder);
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
    reportedAt.putIfAbsent(holder, now);
    if (livePeers.isEmpty()) {
      // Right after its start a node knows no peers yet.
      return recordDecision(holder, !now.isBefore(startedAt.plus(TAKEOVER_TIMEOUT)));
    }
    useLivePeers(livePeers);
    if (isAssigned(holder, holderZone)) {
      takenOver.remove(holder);
      return recordDecision(holder, true);
    }
    boolean isTakenOver =
        takenOver.contains(holder)
            ? isStillNeeded(holder, holderZone, now)
            : isTakeoverDue(holder, holderZone, now);
    if (isTakenOver) {
      takenOver.add(holder);
    } else {
      takenOver.remove(holder);
    }
    return recordDecision(holder, isTakenOver);
  }

  private boolean recordDecision(Endpoint holder, boolean isReadHere) {
    if (isReadHere) {
      readHere.add(holder);
    } else {
      readHere.remove(holder);
    }
    return isReadHere;
  }

  private void useLivePeers(Collection<Peer> livePeers) {
    if (assignedAmong.equals(livePeers)) {
      return;
    }
    assignedAmong = List.copyOf(livePeers);
    assigned.clear();
    Set<String> live = new HashSet<>();
    livePeers.forEach(peer -> live.add(peer.node()));
    List<String> gone = holdersByPeer.keySet().stream().filter(p -> !live.contains(p)).toList();
    gone.forEach(peer -> holdersByPeer.remove(peer).forEach(h -> removeReader(h, peer)));
  }

  private boolean isAssigned(Endpoint holder, String holderZone) {
    return assigned
        .computeIfAbsent(holder, any -> new HashMap<>())
        .computeIfAbsent(
            holderZone,
            any -> {
              List<String> near = nodesIn(holderZone);
              return RendezvousHash.first(holder.toString(), near.isEmpty() ? allNodes() : near)
                  .equals(node);
            });
  }

  private Map<String, Instant> otherReaders(Endpoint holder) {
    return readers.getOrDefault(holder, Map.of());
  }

  /** Returns whether this node is to read a holder that another node is assigned to. */
  private boolean isTakeoverDue(Endpoint holder, String holderZone, Instant now) {
    Map<String, Instant> others = otherReaders(holder);
    int doublings = Math.min(Math.max(0, others.size() - 1), MAX_DOUBLINGS);
    Duration wait = TAKEOVER_TIMEOUT.multipliedBy(1L << doublings);
    Instant lastRead = reportedAt.get(holder);
    Instant due = later(lastRead, readerAddedAt.getOrDefault(holder, startedAt)).plus(wait);
    // A reader that comes and goes seems to be added again and again.
    Instant latestDue = lastRead.plus(wait.multipliedBy(2));
    due = due.isAfter(latestDue) ? latestDue : due;
    if (now.isBefore(due)) {
      return false;
    }
    List<String> candidates = new ArrayList<>(order(holder, holderZone));
    candidates.removeAll(others.keySet());
    return !now.isBefore(due.plus(headStart(candidates.indexOf(node))));
  }

  /**
   * A node that took over goes on until one before it in the order reads the holder again, or until
   * any other node reads what it can't read itself.
   */
  private boolean isStillNeeded(Endpoint holder, String holderZone, Instant now) {
    List<String> recentReaders =
        otherReaders(holder).entrySet().stream()
            .filter(other -> isRecent(other.getValue(), now))
            .map(Map.Entry::getKey)
            .toList();
    if (recentReaders.isEmpty()) {
      return true;
    }
    List<String> order = order(holder, holderZone);
    return isRecent(now.minus(ageOfRead(holder, now)), now)
        && recentReaders.stream().allMatch(peer -> order.indexOf(peer) > order.indexOf(node));
  }

  private static boolean isRecent(Instant read, Instant now) {
    return now.isBefore(read.plus(TAKEOVER_TIMEOUT));
  }

  /**
   * Returns the time that a node leaves to those before it in the order, by doubling groups: the
   * first group is one node, the next ones two, four and so on.
   */
  private Duration headStart(int rank) {
    Duration step = TAKEOVER_STEP.plus(PeerSchedule.REPORTS.period(assignedAmong.size()));
    return step.multipliedBy(Integer.SIZE - Integer.numberOfLeadingZeros(rank));
  }

  /** Returns all nodes in the order in which they read a holder, those of its zone first. */
  private List<String> order(Endpoint holder, String holderZone) {
    List<String> order =
        new ArrayList<>(RendezvousHash.rank(holder.toString(), nodesIn(holderZone)));
    RendezvousHash.rank(holder.toString(), allNodes()).stream()
        .filter(each -> !order.contains(each))
        .forEach(order::add);
    return order;
  }

  private List<String> nodesIn(String holderZone) {
    return allNodes(peer -> peer.zone().equals(holderZone));
  }

  private List<String> allNodes() {
    return allNodes(peer -> true);
  }

  private List<String> allNodes(Predicate<Peer> filter) {
    return Stream.concat(assignedAmong.stream(), Stream.of(new Peer(node, zone)))
        .filter(filter)
        .map(Peer::node)
        .toList();
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
