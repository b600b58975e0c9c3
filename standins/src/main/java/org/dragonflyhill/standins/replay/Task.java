package org.dragonflyhill.standins.replay;

import java.time.Duration;

/**
 * A kind of request that a deployment's callers make.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param name name of the task
 * @param urgent whether it goes ahead of ordinary work
 * @param repeatable whether it may run more than once
 * @param share part of all requests, 0 to 1
 * @param historyPieces pieces of a history at its first visit
 * @param tailTokens tokens after the last full piece
 * @param outputTokens tokens of an answer
 * @param deadline time from arrival to the last token
 */
public record Task(
    String name,
    boolean urgent,
    boolean repeatable,
    double share,
    Range historyPieces,
    Range tailTokens,
    int outputTokens,
    Duration deadline) {

  /**
   * Whole numbers from a least to a greatest, both included.
   *
   * @param min least number
   * @param max greatest number
   */
  public record Range(int min, int max) {}
}
