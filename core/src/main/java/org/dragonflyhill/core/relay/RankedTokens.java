package org.dragonflyhill.core.relay;

import java.util.Arrays;
import java.util.List;

/**
 * Counts tokens by the rank of the requests that they belong to.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class RankedTokens {

  private final long[] tokens = new long[Runner.RANKS];

  /** Adds a number of tokens, which may be negative. */
  void add(int rank, long number) {
    tokens[Math.min(rank, Runner.RANKS - 1)] += number;
  }

  /** Returns the number of tokens of each rank. */
  List<Long> toList() {
    return Arrays.stream(tokens).boxed().toList();
  }

  /** Returns the sum of the tokens of a rank and all more urgent ranks. */
  long upTo(int rank) {
    long sum = 0;
    for (int i = 0; i <= Math.min(rank, Runner.RANKS - 1); i++) {
      sum += tokens[i];
    }
    return sum;
  }

  /**
   * Returns the sum of the tokens of a rank and all more urgent ranks.
   *
   * @param tokens tokens of each rank, which may have fewer elements than there are ranks
   * @param rank the rank
   */
  static long upTo(List<Long> tokens, int rank) {
    long sum = 0;
    for (int i = 0; i < tokens.size() && i <= rank; i++) {
      sum += tokens.get(i);
    }
    return sum;
  }
}
