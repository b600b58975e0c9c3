package org.dragonflyhill.core;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;

/**
 * Chooses the runner of a request by the estimated time to first token and the work recomputed.
 *
 * <pre>{@code
 * Optional<Placement.Choice> choice = new Placement(weights).choose(request, candidates);
 * }</pre>
 *
 * <p>Immutable and thread-safe; no argument may be null.
 */
public final class Placement {

  private static final double TIE_TOLERANCE_SECONDS = 0.02;

  private final Weights weights;

  /** Creates a placement with the weights of a rule. */
  public Placement(Weights weights) {
    this.weights = weights;
  }

  /** Returns the cheapest choice, or empty where there is no candidate. */
  public Optional<Choice> choose(Request request, List<Candidate> candidates) {
    return candidates.stream()
        .map(candidate -> cheaperChoice(request, candidate))
        .min(Comparator.comparingDouble(Choice::cost).thenComparing(Choice::runner));
  }

  /**
   * Returns a random one of the choices that cost about as little as the cheapest, so that nodes
   * with late views do not all send to the same runner; empty where there is no candidate.
   */
  public Optional<Choice> choose(
      Request request, List<Candidate> candidates, RandomGenerator random) {
    List<Choice> choices =
        candidates.stream().map(candidate -> cheaperChoice(request, candidate)).toList();
    OptionalDouble lowest = choices.stream().mapToDouble(Choice::cost).min();
    if (lowest.isEmpty()) {
      return Optional.empty();
    }
    double limit = lowest.getAsDouble() + TIE_TOLERANCE_SECONDS * weights.firstToken();
    List<Choice> ties = choices.stream().filter(choice -> choice.cost() <= limit).toList();
    return Optional.of(ties.get(random.nextInt(ties.size())));
  }

  private Choice cheaperChoice(Request request, Candidate candidate) {
    Choice recompute = estimate(request, candidate, 0);
    if (candidate.importableTokens() <= 0) {
      return recompute;
    }
    Choice importing = estimate(request, candidate, candidate.importableTokens());
    return importing.cost() < recompute.cost() ? importing : recompute;
  }

  private Choice estimate(Request request, Candidate candidate, long importTokens) {
    long computeTokens =
        Math.max(0, request.promptTokens() - candidate.cachedTokens() - importTokens);
    double prefillSeconds = (double) computeTokens / request.prefillTokensPerSecond();
    double transferSeconds =
        (double) importTokens * request.cacheBytesPerToken() / candidate.linkBytesPerSecond();
    if (importTokens > 0) {
      transferSeconds += seconds(candidate.linkWait());
    }
    double firstTokenSeconds =
        seconds(candidate.queueWait())
            + seconds(candidate.latency())
            + transferSeconds
            + prefillSeconds;
    double cost = weights.firstToken() * firstTokenSeconds + weights.recompute() * prefillSeconds;
    return new Choice(candidate.runner(), importTokens, computeTokens, firstTokenSeconds, cost);
  }

  private static double seconds(Duration duration) {
    return duration.toNanos() / 1e9;
  }

  /**
   * Costs of a second.
   *
   * @param firstToken cost of a second until the first token
   * @param recompute cost of a second of prefill
   */
  public record Weights(double firstToken, double recompute) {}

  /**
   * What is to be placed.
   *
   * @param promptTokens tokens of the prompt
   * @param prefillTokensPerSecond tokens that a runner computes a second
   * @param cacheBytesPerToken bytes of KV cache for one token
   */
  public record Request(long promptTokens, long prefillTokensPerSecond, long cacheBytesPerToken) {}

  /**
   * A runner that may take the request.
   *
   * @param runner name of the runner
   * @param queueWait expected wait until a slot is free
   * @param latency network latency to the runner
   * @param cachedTokens leading tokens that it holds
   * @param importableTokens further tokens that it could import from a store
   * @param linkBytesPerSecond bandwidth left for that import
   * @param linkWait expected wait until that import starts
   */
  public record Candidate(
      String runner,
      Duration queueWait,
      Duration latency,
      long cachedTokens,
      long importableTokens,
      long linkBytesPerSecond,
      Duration linkWait) {

    /** Creates a candidate whose import starts at once. */
    public Candidate(
        String runner,
        Duration queueWait,
        Duration latency,
        long cachedTokens,
        long importableTokens,
        long linkBytesPerSecond) {
      this(
          runner,
          queueWait,
          latency,
          cachedTokens,
          importableTokens,
          linkBytesPerSecond,
          Duration.ZERO);
    }
  }

  /**
   * A runner and what is done there.
   *
   * @param runner name of the runner
   * @param importTokens tokens to import from a store first
   * @param computeTokens prompt tokens left to compute
   * @param firstTokenSeconds estimated time to first token, in seconds
   * @param cost weighted cost by which choices are compared
   */
  public record Choice(
      String runner,
      long importTokens,
      long computeTokens,
      double firstTokenSeconds,
      double cost) {}
}
