package org.dragonflyhill.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which runners are told to load weights now, so that all end with the weights that the
 * configuration names and the others carry the load meanwhile.
 *
 * <pre>{@code
 * List<OrderPlanner.Order> orders = OrderPlanner.plan(runners, neededSlots);
 * }</pre>
 *
 * <p>Stateless and thread-safe; no argument may be null.
 */
public final class OrderPlanner {

  /** Weight loads at once from one weight store, beyond which each takes longer. */
  public static final int MAX_CONCURRENT_LOADS = 2;

  private OrderPlanner() {}

  /**
   * Returns the orders to send now, the least loaded runners first.
   *
   * @param runners all runners that use one weight store
   * @param neededSlots slots that must stay able to serve
   */
  public static List<Order> plan(List<RunnerState> runners, int neededSlots) {
    long loading = runners.stream().filter(RunnerState::isLoading).count();
    int servingSlots =
        runners.stream()
            .filter(runner -> runner.isReachable() && !runner.isLoading())
            .mapToInt(RunnerState::slots)
            .sum();
    List<Order> orders = new ArrayList<>();
    for (RunnerState runner : runnersToUpdate(runners)) {
      if (loading + orders.size() >= MAX_CONCURRENT_LOADS) {
        break;
      }
      // A runner with other weights than wanted serves nothing new, so it can always be loaded.
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
   * Weights that a runner serves.
   *
   * @param model name of the model, empty for none
   * @param weightVersion version of the weights, empty for none
   */
  public record Weights(String model, String weightVersion) {

    /** No weights. */
    public static final Weights NONE = new Weights("", "");
  }

  /**
   * What is known of a runner.
   *
   * @param name name of the runner
   * @param wanted weights that the configuration names
   * @param reported weights that it last said it serves
   * @param isLoading whether it said that it loads weights
   * @param isReachable whether it answered
   * @param slots requests that it runs at once
   * @param usedSlots requests that it runs now
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
  }

  /**
   * An order to load weights.
   *
   * @param runner name of the runner
   * @param weights the weights
   */
  public record Order(String runner, Weights weights) {}
}
