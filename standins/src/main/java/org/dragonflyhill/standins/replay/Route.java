package org.dragonflyhill.standins.replay;

import java.util.Optional;

/**
 * Runner chosen for a request, with the pieces to import.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param runner number of the runner
 * @param imported pieces to import before the prefill
 * @param computeTokens prompt tokens that the node expects the runner to compute
 * @param waitSeconds expected wait before the prefill starts, or 0 if not estimated
 */
record Route(int runner, Optional<Import> imported, long computeTokens, double waitSeconds) {

  /**
   * Consecutive pieces to import from a store.
   *
   * @param store number of the store
   * @param fromPiece index of the first piece
   * @param toPiece index after the last piece
   */
  record Import(int store, int fromPiece, int toPiece) {}
}
