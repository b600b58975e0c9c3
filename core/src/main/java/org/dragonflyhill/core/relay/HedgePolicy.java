package org.dragonflyhill.core.relay;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides whether and when a second copy of a request is sent to another runner because the first
 * one has not been answered, within the share of extra requests that the operator allows.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class HedgePolicy {

  /** Maximum share of extra requests that an operator may allow. */
  public static final double MAX_SHARE = 0.2;

  /**
   * Maximum expected time to the first response of a copy. After 300 ms with both copies running,
   * the older one is cancelled.
   */
  private static final double MAX_COPY_SECONDS = 0.25;

  private final double share;
  private final Map<String, FirstResponseTimes> timesByRoute = new HashMap<>();
  private final Map<String, HedgeBudget> budgetsByService = new HashMap<>();

  /**
   * Creates a policy without recorded requests.
   *
   * @param share extra requests per request that the operator allows, above 0
   */
  public HedgePolicy(double share) {
    this.share = share;
  }

  /**
   * Reads the operator's setting.
   *
   * @param setting text of the setting, empty if it is not set
   * @return the policy, empty if hedging is off; a left value describes an error
   */
  public static Either<String, Optional<HedgePolicy>> parse(Optional<String> setting) {
    double share;
    try {
      share = Double.parseDouble(setting.orElse("0"));
    } catch (NumberFormatException e) {
      return Either.left(error(setting));
    }
    if (!(share >= 0 && share <= MAX_SHARE)) {
      return Either.left(error(setting));
    }
    return Either.right(share == 0 ? Optional.empty() : Optional.of(new HedgePolicy(share)));
  }

  private static String error(Optional<String> setting) {
    return "expected a share of extra requests from 0 (off) to "
        + MAX_SHARE
        + ", found \""
        + setting.orElse("")
        + "\"";
  }

  /** Records a request to a service, of any kind. */
  public void recordRequest(String service) {
    budget(service).recordRequest();
  }

  /** Records a time to first response of a route, as {@link FirstResponseTimes#record} does. */
  public void recordFirstResponse(String route, Duration expected, Duration actual, Instant now) {
    times(route).record(expected, actual, now);
  }

  /**
   * Returns whether a request has been waiting for longer than most of its route.
   *
   * @param route name of the route
   * @param expected expected time to first response, zero if unknown
   * @param waited time since the request was sent
   * @param now present time
   */
  public boolean isDue(String route, Duration expected, Duration waited, Instant now) {
    return times(route)
        .delay(expected, now)
        .filter(delay -> waited.compareTo(delay) >= 0)
        .isPresent();
  }

  /** Returns those of the given runners to which a second copy may be sent. */
  public List<Runner> candidates(Collection<Runner> runners, Instant now) {
    return runners.stream().filter(runner -> mayReceiveCopy(runner, now)).toList();
  }

  private static boolean mayReceiveCopy(Runner runner, Instant now) {
    return runner.isAvailable()
        && !runner.isEjected()
        && !runner.isSilent(now)
        && !runner.isChangingWeights()
        && runner.backoffLeft(now).isZero()
        && runner.rateLimit().perSecond().isEmpty()
        && !runner.coldStart().isCold(now);
  }

  /**
   * Returns why no second copy may be sent now, empty if one may be.
   *
   * @param service the service
   * @param runners runners of the service that accept requests
   * @param copy the planned copy, empty if no runner may receive it
   * @param isAnyWaiting whether requests to the service wait at this node
   */
  public Optional<HedgeDenial> denial(
      String service, Collection<Runner> runners, Optional<Copy> copy, boolean isAnyWaiting) {
    if (!budget(service).isAvailable()) {
      return Optional.of(HedgeDenial.SHARE);
    }
    if (runners.stream().anyMatch(runner -> runner.rateLimit().perSecond().isPresent())) {
      return Optional.of(HedgeDenial.RATE_LIMIT);
    }
    if (isAnyWaiting) {
      return Optional.of(HedgeDenial.CAPACITY);
    }
    return copy.isEmpty() ? Optional.of(HedgeDenial.NO_RUNNER) : copy.get().denial();
  }

  /** Records that a second copy is sent to a service. */
  public void recordHedge(String service) {
    budget(service).recordHedge();
  }

  private FirstResponseTimes times(String route) {
    return timesByRoute.computeIfAbsent(route, any -> new FirstResponseTimes());
  }

  private HedgeBudget budget(String service) {
    return budgetsByService.computeIfAbsent(service, any -> new HedgeBudget(share));
  }

  /**
   * A planned second copy of a request.
   *
   * @param runner runner that would receive it
   * @param running number of requests of all nodes that are running there
   * @param first runner that has not answered
   * @param prompted the prompt and how the runner was selected for it, empty for a plain request
   */
  public record Copy(Runner runner, int running, Runner first, Optional<Prompted> prompted) {

    private Optional<HedgeDenial> denial() {
      return running >= runner.info().slots()
          ? Optional.of(HedgeDenial.CAPACITY)
          : prompted.flatMap(known -> known.denial(first));
    }
  }

  /**
   * The prompt of a planned copy.
   *
   * @param prompt the prompt
   * @param selection the selected runner with its estimates
   * @param isFetchPossible whether this node can tell the runner until when it may fetch
   */
  public record Prompted(
      Prompt prompt, RunnerSelector.Selection selection, boolean isFetchPossible) {

    private Optional<HedgeDenial> denial(Runner first) {
      if (selection.memorySeconds() > 0 || selection.preemptedTokens() > 0) {
        return Optional.of(HedgeDenial.CAPACITY);
      }
      if (recomputesSharedParts(first)) {
        return Optional.of(HedgeDenial.RECOMPUTATION);
      }
      return selection.firstTokenSeconds() > MAX_COPY_SECONDS
          ? Optional.of(HedgeDenial.TOO_SLOW)
          : Optional.empty();
    }

    /**
     * Returns whether the runner would prefill a shared part, which it could fetch once the first
     * runner has it, or would fetch one from the runner that does not answer.
     */
    private boolean recomputesSharedParts(Runner first) {
      long sharedTokens = prompt.sharedParts().stream().mapToLong(Prompt.Part::tokens).sum();
      long ownTokens = Math.max(0, prompt.promptTokens() - sharedTokens);
      List<Endpoint> sources = selection.sourcesOfMissing();
      return selection.prefillTokens() > ownTokens
          || sources.contains(first.info().endpoint())
          || (!sources.isEmpty() && !isFetchPossible);
    }
  }
}
