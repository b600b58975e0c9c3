package org.dragonflyhill.standins.replay;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A simulated store, reached over a link, which evicts the least recently used pieces.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class FakeStore {

  private final String name;
  private final String zone;
  private final FakeLink link;
  private final int capacityPieces;
  private final Map<String, Boolean> pieces = new LinkedHashMap<>(16, 0.75f, true);
  private final Set<String> secondCopies = new LinkedHashSet<>();
  private boolean isFailed;

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

  boolean isFailed() {
    return isFailed;
  }

  /** Simulates the loss of the host and all its pieces. */
  void fail() {
    isFailed = true;
    pieces.clear();
    secondCopies.clear();
  }

  /** Returns how many of the leading pieces are stored, and marks them as recently used. */
  int lookUpPrefix(List<String> wanted) {
    int count = 0;
    while (count < wanted.size() && pieces.get(wanted.get(count)) != null) {
      count++;
    }
    return count;
  }

  /**
   * Stores a piece and returns the piece evicted for it, if any. Second copies are evicted first.
   *
   * @param piece the piece
   * @param isSecondCopy whether another store already holds the piece
   */
  Optional<String> add(String piece, boolean isSecondCopy) {
    if (isFailed || pieces.put(piece, true) != null) {
      return Optional.empty();
    }
    if (isSecondCopy) {
      secondCopies.add(piece);
    }
    if (pieces.size() <= capacityPieces) {
      return Optional.empty();
    }
    Set<String> candidates = secondCopies.isEmpty() ? pieces.keySet() : secondCopies;
    String evicted = candidates.iterator().next();
    secondCopies.remove(evicted);
    pieces.remove(evicted);
    return Optional.of(evicted);
  }
}
