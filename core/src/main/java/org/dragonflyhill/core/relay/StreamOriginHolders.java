package org.dragonflyhill.core.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dragonflyhill.core.RendezvousHash;

/**
 * Chooses the nodes that are told where a stream began, before its caller sees the first event, and
 * that are asked when the caller takes it up again. All nodes rank them alike by the attempt's id,
 * so no node has to know which one began the stream; that one may have died.
 *
 * <p>Stateless and thread-safe; no argument may be null.
 */
public final class StreamOriginHolders {

  /** Number of nodes that are told of a stream. */
  public static final int HOLDERS = 3;

  private StreamOriginHolders() {}

  /**
   * Returns the names of the peers in the order in which they hold the origin of a stream. The
   * first {@link #HOLDERS} are in two availability zones if the peers are.
   */
  public static List<String> rank(String attempt, Collection<HolderAssignment.Peer> peers) {
    Map<String, String> zones = new HashMap<>();
    peers.forEach(peer -> zones.put(peer.node(), peer.zone()));
    List<String> ranked = new ArrayList<>(RendezvousHash.rank(attempt, zones.keySet()));
    if (ranked.size() <= HOLDERS) {
      return ranked;
    }
    String firstZone = zones.get(ranked.getFirst());
    boolean isOneZone =
        ranked.subList(0, HOLDERS).stream().allMatch(node -> zones.get(node).equals(firstZone));
    if (isOneZone) {
      ranked.stream()
          .filter(node -> !zones.get(node).equals(firstZone))
          .findFirst()
          .ifPresent(
              other -> {
                ranked.remove(other);
                ranked.add(HOLDERS - 1, other);
              });
    }
    return ranked;
  }
}
