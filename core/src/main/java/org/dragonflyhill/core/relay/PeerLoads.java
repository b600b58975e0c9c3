package org.dragonflyhill.core.relay;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Load of all peers together on each runner at one time.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class PeerLoads {

  private final Instant at;
  private final Map<String, Totals> totals = new HashMap<>();
  private final Set<String> changingRunners = new HashSet<>();

  /** Creates the sums for a time, without any peer. */
  PeerLoads(Instant at) {
    this.at = at;
  }

  /** Returns the time for which the reports were recent enough to be counted. */
  Instant at() {
    return at;
  }

  /** Adds what a peer has reported. */
  void add(PeerReport report) {
    report
        .loads()
        .forEach((runner, load) -> totals.computeIfAbsent(runner, any -> new Totals()).add(load));
    changingRunners.addAll(report.changingRunners());
  }

  /** Returns the number of running requests. */
  int running(String runner) {
    Totals known = totals.get(runner);
    return known == null ? 0 : known.running;
  }

  /** Returns the tokens that the runner prefills before those of a new request of a rank. */
  long prefillTokensAhead(String runner, int rank) {
    Totals known = totals.get(runner);
    return known == null ? 0 : known.prefill.upTo(rank);
  }

  /** Returns the KV memory, in tokens, that a new request of a rank cannot preempt. */
  long memoryTokensAhead(String runner, int rank) {
    Totals known = totals.get(runner);
    return known == null ? 0 : known.memory.upTo(rank);
  }

  /** Returns whether any peer has ordered the runner to change its weights. */
  boolean isChangingWeights(String runner) {
    return changingRunners.contains(runner);
  }

  private static final class Totals {
    private final RankedTokens prefill = new RankedTokens();
    private final RankedTokens memory = new RankedTokens();
    private int running;

    private void add(PeerReport.Load load) {
      running += load.running();
      add(prefill, load.prefillTokens());
      add(memory, load.memoryTokens());
    }

    private static void add(RankedTokens sums, List<Long> tokens) {
      for (int rank = 0; rank < tokens.size(); rank++) {
        sums.add(rank, tokens.get(rank));
      }
    }
  }
}
