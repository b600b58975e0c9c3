package org.dragonflyhill.standins.replay;

import java.time.Duration;

/**
 * A type of request sent by the callers of a deployment.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param name name of the task
 * @param urgent whether its requests take precedence over ordinary ones
 * @param repeatable whether its requests may run more than once
 * @param share fraction of all requests, from 0 to 1
 * @param historyPieces pieces of a history at its first request
 * @param tailTokens prompt tokens after the last full piece
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
   * An inclusive range of integers.
   *
   * @param min smallest number
   * @param max largest number
   */
  public record Range(int min, int max) {}
}
