package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * Decides which runner changes its weights next: a few at a time, the least loaded first.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class WeightsRollout {

  /**
   * Runners that change at once. Only two load at full speed, by the users' sheet, but most of a
   * change is the wait for running requests.
   */
  public static final int MAX_CONCURRENT_CHANGES = 3;

  /** Time after which an order that shows no effect is given again. */
  public static final Duration ORDER_TIMEOUT = Duration.ofMillis(3_000);

  private final Map<String, Change> changes = new HashMap<>();

  /**
   * Returns the open runners that are behind the newest weights, least loaded first.
   *
   * @param runners all runners
   * @param newest newest weight version of each model
   * @param running requests of all nodes at a runner
   */
  public static List<OutdatedRunner> outdatedRunners(
      Collection<Runner> runners, Map<String, Long> newest, ToIntFunction<Runner> running) {
    List<OutdatedRunner> behind = new ArrayList<>();
    for (Runner runner : runners) {
      for (String model : runner.info().weightVersions().keySet()) {
        long wanted = newest.getOrDefault(model, 0L);
        if (runner.isAvailable() && runner.weightVersion(model) < wanted) {
          behind.add(new OutdatedRunner(runner, model, wanted));
        }
      }
    }
    behind.sort(Comparator.comparingInt(entry -> running.applyAsInt(entry.runner())));
    return behind;
  }

  /** Returns the orders to give now, and counts them as given. */
  public List<OutdatedRunner> nextOrders(List<OutdatedRunner> behind, Instant now) {
    removeFinished(behind, now);
    List<OutdatedRunner> orders = new ArrayList<>();
    for (OutdatedRunner entry : behind) {
      if (changes.size() >= MAX_CONCURRENT_CHANGES) {
        break;
      }
      if (!changes.containsKey(entry.runner().id())) {
        changes.put(entry.runner().id(), new Change(entry.version(), now));
        orders.add(entry);
      }
    }
    return orders;
  }

  /** Drops changes that are done, and those that took so long that they are ordered again. */
  private void removeFinished(List<OutdatedRunner> behind, Instant now) {
    Set<String> still = new HashSet<>();
    behind.forEach(entry -> still.add(entry.runner().id()));
    changes
        .entrySet()
        .removeIf(
            entry ->
                !still.contains(entry.getKey())
                    || Duration.between(entry.getValue().at(), now).compareTo(ORDER_TIMEOUT) > 0);
  }

  /** Notes that a runner certainly did not take its order. */
  public void orderRejected(String runner) {
    changes.remove(runner);
  }

  /** Returns the runners that were told to change and have not been seen to have done so. */
  public Set<String> changingRunners() {
    return changes.keySet();
  }

  /** Forgets all orders, for a node that no longer gives any. */
  public void clear() {
    changes.clear();
  }

  /**
   * A runner whose weights are older than those named.
   *
   * @param runner the runner
   * @param model model that they are of
   * @param version version that it should have
   */
  public record OutdatedRunner(Runner runner, String model, long version) {}

  private record Change(long version, Instant at) {}
}
