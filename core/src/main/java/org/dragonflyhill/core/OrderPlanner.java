package org.dragonflyhill.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Plans a rolling update of model weights.
 *
 * <p>The planner decides which runners to order to load weights now. Over several calls every
 * runner gets the weights that the configuration names, while the others keep serving.
 *
 * <pre>{@code
 * List<OrderPlanner.Order> orders = OrderPlanner.plan(runners, neededSlots);
 * }</pre>
 *
 * <p>Stateless and thread-safe. Arguments must not be null.
 */
public final class OrderPlanner {

  /** Maximum concurrent loads from one weight store; with more, each load takes longer. */
  public static final int MAX_CONCURRENT_LOADS = 2;

  private OrderPlanner() {}

  /**
   * Returns the load orders to send now, the least loaded runners first.
   *
   * @param runners all runners that use the same weight store
   * @param neededSlots number of slots that must remain available for requests
   */
  public static List<Order> plan(List<RunnerState> runners, int neededSlots) {
    long loading = runners.stream().filter(RunnerState::isLoading).count();
    int servingSlots =
        runners.stream().filter(RunnerState::isServing).mapToInt(RunnerState::slots).sum();
    List<Order> orders = new ArrayList<>();
    for (RunnerState runner : runnersToUpdate(runners)) {
      if (loading + orders.size() >= MAX_CONCURRENT_LOADS) {
        break;
      }
      // A runner without weights serves no requests, so loading it never takes slots away.
      int lostSlots = runner.hasWeights() ? runner.slots() : 0;
      if (servingSlots - lostSlots >= neededSlots || lostSlots == 0) {
        servingSlots -= lostSlots;
        orders.add(new Order(runner.name(), runner.wanted()));
      }
    }
    return orders;
  }

  private static List<RunnerState> runnersToUpdate(List<RunnerState> runners) {
    return runners.stream()
        .filter(RunnerState::isReachable)
        .filter(runner -> !runner.isLoading())
        .filter(runner -> !runner.reported().equals(runner.wanted()))
        .sorted(Comparator.comparingInt(RunnerState::usedSlots).thenComparing(RunnerState::name))
        .toList();
  }

  /**
   * Model weights that a runner serves.
   *
   * @param model name of the model, empty if there is none
   * @param weightVersion version of the weights, empty if there is none
   */
  public record Weights(String model, String weightVersion) {

    /** No weights. */
    public static final Weights NONE = new Weights("", "");
  }

  /**
   * Known state of a runner.
   *
   * @param name name of the runner
   * @param wanted weights that the configuration names for the runner
   * @param reported weights that the runner last reported to serve
   * @param isLoading whether the runner reported that it is loading weights
   * @param isReachable whether the runner answered the last state request
   * @param slots number of requests that the runner can run concurrently
   * @param usedSlots number of requests that the runner is running
   */
  public record RunnerState(
      String name,
      Weights wanted,
      Weights reported,
      boolean isLoading,
      boolean isReachable,
      int slots,
      int usedSlots) {

    boolean hasWeights() {
      return !reported.equals(Weights.NONE);
    }

    boolean isServing() {
      return isReachable && !isLoading && hasWeights();
    }
  }

  /**
   * An order to load weights.
   *
   * @param runner name of the runner
   * @param weights the weights to load
   */
  public record Order(String runner, Weights weights) {}
}
