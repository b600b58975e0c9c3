package org.dragonflyhill.core;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;

/**
 * Chooses the runner for a request by a weighted cost of the time to first token and the prefill.
 *
 * <pre>{@code
 * Optional<Placement.Choice> choice = new Placement(weights).choose(request, candidates);
 * }</pre>
 *
 * <p>Immutable and thread-safe. Arguments must not be null.
 */
public final class Placement {

  /** Cost difference up to which choices count as equal, in seconds of time to first token. */
  private static final double TIE_TOLERANCE_SECONDS = 0.02;

  private final Weights weights;

  /** Creates a placement with the given cost weights. */
  public Placement(Weights weights) {
    this.weights = weights;
  }

  /** Returns the cheapest choice, or empty if there is no candidate. */
  public Optional<Choice> choose(Request request, List<Candidate> candidates) {
    return candidates.stream()
        .map(candidate -> cheaperChoice(request, candidate))
        .min(Comparator.comparingDouble(Choice::cost).thenComparing(Choice::runner));
  }

  /**
   * Returns a random choice among those whose cost is close to the lowest, or empty if there is no
   * candidate. The random choice keeps nodes with outdated load information from all sending to the
   * same runner.
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
   * Weights of the cost function.
   *
   * @param firstToken cost of one second of time to first token
   * @param recompute cost of one second of prefill
   */
  public record Weights(double firstToken, double recompute) {}

  /**
   * A request to place.
   *
   * @param promptTokens number of tokens in the prompt
   * @param prefillTokensPerSecond prefill throughput of a runner
   * @param cacheBytesPerToken bytes of KV cache per token
   */
  public record Request(long promptTokens, long prefillTokensPerSecond, long cacheBytesPerToken) {}

  /**
   * A runner that could serve the request.
   *
   * @param runner name of the runner
   * @param queueWait expected wait in the runner's queue
   * @param latency network latency to the runner
   * @param cachedTokens length of the prompt prefix in the runner's cache, in tokens
   * @param importableTokens further prefix tokens that the runner could import from a store
   * @param linkBytesPerSecond bandwidth available for the import
   * @param linkWait expected wait until the import starts
   */
  public record Candidate(
      String runner,
      Duration queueWait,
      Duration latency,
      long cachedTokens,
      long importableTokens,
      long linkBytesPerSecond,
      Duration linkWait) {

    /** Creates a candidate whose import can start immediately. */
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
   * A runner with the planned import and the estimated cost.
   *
   * @param runner name of the runner
   * @param importTokens number of tokens to import from a store before the prefill
   * @param computeTokens number of prompt tokens that the runner must compute
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
