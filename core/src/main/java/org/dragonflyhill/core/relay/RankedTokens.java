package org.dragonflyhill.core.relay;

import java.util.Arrays;
import java.util.List;

/**
 * Tokens by the rank of the requests that they belong to.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class RankedTokens {

  private final long[] tokens = new long[Runner.RANKS];

  /** Adds tokens, or takes some away. */
  void add(int rank, long number) {
    tokens[Math.min(rank, Runner.RANKS - 1)] += number;
  }

  /** Returns the tokens of each rank. */
  List<Long> toList() {
    return Arrays.stream(tokens).boxed().toList();
  }

  /** Returns the tokens of a rank and all that are more urgent. */
  long upTo(int rank) {
    long sum = 0;
    for (int i = 0; i <= Math.min(rank, Runner.RANKS - 1); i++) {
      sum += tokens[i];
    }
    return sum;
  }

  /** Returns the same for a list, which may be shorter. */
  static long upTo(List<Long> tokens, int rank) {
    long sum = 0;
    for (int i = 0; i < tokens.size() && i <= rank; i++) {
      sum += tokens.get(i);
    }
    return sum;
  }
}
