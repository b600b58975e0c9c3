package org.dragonflyhill.standins.replay;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.Placement.Candidate;
import org.dragonflyhill.core.Placement.Choice;
import org.dragonflyhill.core.Placement.Request;
import org.dragonflyhill.core.Placement.Weights;

/**
 * The first implementation of {@link org.dragonflyhill.core.Placement}, kept unchanged as a
 * baseline.
 *
 * <p>Immutable and thread-safe; no argument may be null.
 */
final class FormerPlacement {

  private final Weights weights;

  /** Creates a placement with the cost weights of a deployment. */
  FormerPlacement(Weights weights) {
    this.weights = weights;
  }

  /** Returns the choice of the lowest cost, or empty if there is no candidate. */
  Optional<Choice> choose(Request request, List<Candidate> candidates) {
    return candidates.stream()
        .map(candidate -> choice(request, candidate))
        .min(Comparator.comparingDouble(Choice::cost).thenComparing(Choice::runner));
  }

  private Choice choice(Request request, Candidate candidate) {
    long uncachedTokens = Math.max(0, request.promptTokens() - candidate.cachedTokens());
    double prefillSeconds = (double) uncachedTokens / request.prefillTokensPerSecond();
    double firstTokenSeconds =
        (candidate.queueWait().toNanos() + candidate.latency().toNanos()) / 1e9 + prefillSeconds;
    double cost = weights.firstToken() * firstTokenSeconds + weights.recompute() * prefillSeconds;
    return new Choice(candidate.runner(), 0, uncachedTokens, firstTokenSeconds, cost);
  }
}
