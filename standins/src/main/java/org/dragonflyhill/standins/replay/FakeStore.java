package org.dragonflyhill.standins.replay;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A store: a capacity of pieces, the longest unused evicted first, behind a link.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class FakeStore {

  private final String name;
  private final String zone;
  private final FakeLink link;
  private final int capacityPieces;
  private final Map<String, Boolean> pieces = new LinkedHashMap<>(16, 0.75f, true);
  private boolean isLost;

  /** Creates an empty store. */
  FakeStore(String name, String zone, FakeLink link, int capacityPieces) {
    this.name = name;
    this.zone = zone;
    this.link = link;
    this.capacityPieces = capacityPieces;
  }

  String name() {
    return name;
  }

  String zone() {
    return zone;
  }

  FakeLink link() {
    return link;
  }

  boolean isLost() {
    return isLost;
  }

  /** Loses the host and all it holds. */
  void lose() {
    isLost = true;
    pieces.clear();
  }

  /** Returns how many of these pieces are there before the first that is missing. */
  int use(List<String> wanted) {
    int count = 0;
    while (count < wanted.size() && pieces.get(wanted.get(count)) != null) {
      count++;
    }
    return count;
  }

  /** Takes a piece and returns the one that had to go, if any. */
  Optional<String> add(String piece) {
    if (isLost) {
      return Optional.empty();
    }
    pieces.put(piece, true);
    if (pieces.size() <= capacityPieces) {
      return Optional.empty();
    }
    String oldest = pieces.keySet().iterator().next();
    pieces.remove(oldest);
    return Optional.of(oldest);
  }
}
