package org.dragonflyhill.standins.replay;

import java.util.Optional;

/**
 * Where a request goes.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param runner number of the runner
 * @param imported pieces to import first
 * @param computeTokens prompt tokens that the node expects the runner to compute
 * @param waitSeconds estimated wait before the prompt's own work starts, 0 where not estimated
 */
record Route(int runner, Optional<Import> imported, long computeTokens, double waitSeconds) {

  /**
   * Leading pieces to fetch from a store.
   *
   * @param store number of the store
   * @param fromPiece index of the first piece
   * @param toPiece index after the last piece
   */
  record Import(int store, int fromPiece, int toPiece) {}
}
