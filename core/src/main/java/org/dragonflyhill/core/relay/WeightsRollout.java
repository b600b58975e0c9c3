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
 * Decides which runners change their weights next: a few at a time, the least loaded first.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class WeightsRollout {

  /**
   * Maximum number of concurrent changes. By the platform specification only two runners load
   * weights at full speed, but most of a change is spent waiting for running requests.
   */
  public static final int MAX_CONCURRENT_CHANGES = 3;

  /** Time after which an order without visible effect is given again. */
  public static final Duration ORDER_TIMEOUT = Duration.ofMillis(3_000);

  private final Map<String, Change> changes = new HashMap<>();

  /**
   * Returns the available runners whose weights are older than the newest ones, least loaded first.
   *
   * @param runners all runners
   * @param newest newest weight version of each model
   * @param running returns the number of requests of all nodes that are running at a runner
   */
  public static List<OutdatedRunner> outdatedRunners(
      Collection<Runner> runners, Map<String, Long> newest, ToIntFunction<Runner> running) {
    List<OutdatedRunner> outdated = new ArrayList<>();
    for (Runner runner : runners) {
      for (String model : runner.info().weightVersions().keySet()) {
        long newestVersion = newest.getOrDefault(model, 0L);
        if (runner.isAvailable() && runner.weightVersion(model) < newestVersion) {
          outdated.add(new OutdatedRunner(runner, model, newestVersion));
        }
      }
    }
    outdated.sort(Comparator.comparingInt(entry -> running.applyAsInt(entry.runner())));
    return outdated;
  }

  /** Returns the orders to give now and records them as given. */
  public List<OutdatedRunner> nextOrders(List<OutdatedRunner> outdated, Instant now) {
    removeFinished(outdated, now);
    List<OutdatedRunner> orders = new ArrayList<>();
    for (OutdatedRunner entry : outdated) {
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

  /** Removes changes that are complete and those that have timed out. */
  private void removeFinished(List<OutdatedRunner> outdated, Instant now) {
    Set<String> outdatedIds = new HashSet<>();
    outdated.forEach(entry -> outdatedIds.add(entry.runner().id()));
    changes
        .entrySet()
        .removeIf(
            entry ->
                !outdatedIds.contains(entry.getKey())
                    || Duration.between(entry.getValue().orderedAt(), now).compareTo(ORDER_TIMEOUT)
                        > 0);
  }

  /** Removes the order of a runner that has rejected it. */
  public void orderRejected(String runner) {
    changes.remove(runner);
  }

  /** Returns the ids of the runners with an order that has not been observed to be complete. */
  public Set<String> changingRunners() {
    return changes.keySet();
  }

  /** Removes all orders, for a node that no longer gives any. */
  public void clear() {
    changes.clear();
  }

  /**
   * A runner whose weights are older than the newest ones.
   *
   * @param runner the runner
   * @param model model of the weights
   * @param version version that the runner should have
   */
  public record OutdatedRunner(Runner runner, String model, long version) {}

  private record Change(long version, Instant orderedAt) {}
}
