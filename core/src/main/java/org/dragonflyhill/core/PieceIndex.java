package org.dragonflyhill.core;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Knows which endpoint probably holds which piece of KV cache.
 *
 * <p>The index is soft state: an entry that is wrong or missing costs time, never correctness.
 *
 * <pre>{@code
 * index.add("runner-1", piece.id());
 * int reusable = index.prefixPieces("runner-1", pieces);
 * }</pre>
 *
 * <p>Not thread-safe; its owner guards it. No argument may be null.
 */
public final class PieceIndex {

  private final Map<String, Set<String>> piecesByHolder = new HashMap<>();

  /** Notes that a holder has a piece. */
  public void add(String holder, String pieceId) {
    piecesByHolder.computeIfAbsent(holder, name -> new HashSet<>()).add(pieceId);
  }

  /** Notes that a holder no longer has a piece. */
  public void remove(String holder, String pieceId) {
    Set<String> pieces = piecesByHolder.get(holder);
    if (pieces != null) {
      pieces.remove(pieceId);
    }
  }

  /** Replaces all that is known of a holder, after a gap in its events. */
  public void replace(String holder, Collection<String> pieceIds) {
    piecesByHolder.put(holder, new HashSet<>(pieceIds));
  }

  /** Forgets a holder. */
  public void forget(String holder) {
    piecesByHolder.remove(holder);
  }

  /** Returns whether a holder probably has a piece. */
  public boolean holds(String holder, String pieceId) {
    return piecesByHolder.getOrDefault(holder, Set.of()).contains(pieceId);
  }

  /** Returns how many leading pieces of a prompt a holder probably has. */
  public int prefixPieces(String holder, List<PieceKeys.Piece> pieces) {
    int count = 0;
    while (count < pieces.size() && holds(holder, pieces.get(count).id())) {
      count++;
    }
    return count;
  }

  /** Returns the number of entries, over all holders. */
  public long size() {
    return piecesByHolder.values().stream().mapToLong(Set::size).sum();
  }
}
