package org.dragonflyhill.core;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Index of the pieces of KV cache that each holder, such as a runner, probably has.
 *
 * <p>The index is soft state: a wrong or missing entry costs time but never correctness. It
 * therefore stores only a 64-bit fingerprint of each piece id.
 *
 * <pre>{@code
 * index.add("runner-1", piece.id());
 * int reusable = index.prefixPieces("runner-1", PieceIndex.fingerprints(pieces));
 * }</pre>
 *
 * <p>Not thread-safe; callers must synchronize access. No argument may be null.
 */
public final class PieceIndex {

  private final Map<String, FingerprintSet> piecesByHolder = new HashMap<>();

  /** Returns the fingerprint of a piece id. */
  public static long fingerprint(String pieceId) {
    return Hashing.komihash5_0().hashCharsToLong(pieceId);
  }

  /** Returns the fingerprints of the pieces of a prompt, in order. */
  public static long[] fingerprints(List<PieceKeys.Piece> pieces) {
    return pieces.stream().mapToLong(piece -> fingerprint(piece.id())).toArray();
  }

  /** Records that a holder has a piece. */
  public void add(String holder, String pieceId) {
    piecesByHolder.computeIfAbsent(holder, name -> new FingerprintSet()).add(fingerprint(pieceId));
  }

  /** Records that a holder no longer has a piece. */
  public void remove(String holder, String pieceId) {
    FingerprintSet pieces = piecesByHolder.get(holder);
    if (pieces != null) {
      pieces.remove(fingerprint(pieceId));
    }
  }

  /** Replaces all pieces of a holder, for example after some of its cache events were lost. */
  public void replace(String holder, Collection<String> pieceIds) {
    FingerprintSet pieces = new FingerprintSet();
    pieceIds.forEach(id -> pieces.add(fingerprint(id)));
    piecesByHolder.put(holder, pieces);
  }

  /** Removes a holder with all of its pieces. */
  public void removeHolder(String holder) {
    piecesByHolder.remove(holder);
  }

  /** Returns whether a holder probably has a piece. */
  public boolean holds(String holder, String pieceId) {
    FingerprintSet pieces = piecesByHolder.get(holder);
    return pieces != null && pieces.contains(fingerprint(pieceId));
  }

  /** Returns the number of leading pieces of a prompt that a holder probably has. */
  public int prefixPieces(String holder, long[] fingerprints) {
    FingerprintSet pieces = piecesByHolder.get(holder);
    if (pieces == null) {
      return 0;
    }
    int count = 0;
    while (count < fingerprints.length && pieces.contains(fingerprints[count])) {
      count++;
    }
    return count;
  }

  /** Returns the number of leading pieces of a prompt that a holder probably has. */
  public int prefixPieces(String holder, List<PieceKeys.Piece> pieces) {
    return prefixPieces(holder, fingerprints(pieces));
  }

  /** Returns the number of indexed pieces, over all holders. */
  public long size() {
    return piecesByHolder.values().stream().mapToLong(FingerprintSet::size).sum();
  }
}
