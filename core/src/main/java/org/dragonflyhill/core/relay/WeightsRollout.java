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
 * Decides which runners change their weights next: a few at a time, first those whose weights were
 * replaced first, and among these the least loaded.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class WeightsRollout {

  /**
   * Minimum limit on concurrent changes. Of a small service only two runners load weights at full
   * speed, but most of a change is spent waiting for running requests.
   */
  public static final int MIN_CONCURRENT_CHANGES = 3;

  /**
   * Fraction of the runners that change concurrently. With more, each load takes longer, by the
   * platform specification.
   */
  private static final double CONCURRENT_SHARE = 0.28;

  /** Time after which an accepted order without visible effect is given again. */
  public static final Duration ORDER_TIMEOUT = Duration.ofMillis(3_000);

  /** Time after which an order whose answer was lost is given again. */
  public static final Duration UNANSWERED_ORDER_TIMEOUT = Duration.ofMillis(1_000);

  private final Map<String, Change> changes = new HashMap<>();

  /**
   * Returns the available runners whose weights have been replaced, in the order in which they
   * should change.
   *
   * @param runners all runners
   * @param announced announced weight versions
   * @param running returns the number of requests of all nodes that are running at a runner
   */
  public static List<OutdatedRunner> outdatedRunners(
      Collection<Runner> runners, AnnouncedWeights announced, ToIntFunction<Runner> running) {
    List<OutdatedRunner> outdated = new ArrayList<>();
    for (Runner runner : runners) {
      if (!runner.isAvailable()) {
        continue;
      }
      for (String model : runner.info().weightVersions().keySet()) {
        announced
            .replacedAt(model, runner.weightVersion(model))
            .ifPresent(
                at -> outdated.add(new OutdatedRunner(runner, model, announced.newest(model), at)));
      }
    }
    outdated.sort(
        Comparator.comparing(OutdatedRunner::replacedAt)
            .thenComparingInt(entry -> running.applyAsInt(entry.runner())));
    return outdated;
  }

  /**
   * Returns the orders to give now and records them as given.
   *
   * @param outdated the runners that are behind, in the order in which they should change
   * @param runners number of runners that share the weights
   * @param now present time
   */
  public List<OutdatedRunner> nextOrders(List<OutdatedRunner> outdated, int runners, Instant now) {
    removeFinished(outdated, now);
    int limit = Math.max(MIN_CONCURRENT_CHANGES, (int) (runners * CONCURRENT_SHARE));
    List<OutdatedRunner> orders = new ArrayList<>();
    for (OutdatedRunner entry : outdated) {
      if (changes.size() >= limit) {
        break;
      }
      if (!changes.containsKey(entry.runner().id())) {
        changes.put(entry.runner().id(), new Change(entry, now, ORDER_TIMEOUT));
        orders.add(entry);
      }
    }
    return orders;
  }

  /**
   * Removes changes that have timed out and those whose runner has reached the ordered version,
   * also if a newer one has been announced since.
   */
  private void removeFinished(List<OutdatedRunner> outdated, Instant now) {
    Set<String> outdatedIds = new HashSet<>();
    outdated.forEach(entry -> outdatedIds.add(entry.runner().id()));
    changes
        .values()
        .removeIf(
            change ->
                !outdatedIds.contains(change.order().runner().id())
                    || change.isComplete()
                    || !now.isBefore(change.orderedAt().plus(change.timeout())));
  }

  /** Records that a runner's answer to its order was lost, so that the order is repeated soon. */
  public void orderUnanswered(String runner) {
    changes.computeIfPresent(
        runner,
        (id, change) -> new Change(change.order(), change.orderedAt(), UNANSWERED_ORDER_TIMEOUT));
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
   * A runner whose weights have been replaced.
   *
   * @param runner the runner
   * @param model model of the weights
   * @param version version that the runner should have
   * @param replacedAt time of the announcement of the first version newer than the runner's
   */
  public record OutdatedRunner(Runner runner, String model, long version, Instant replacedAt) {}

  private record Change(OutdatedRunner order, Instant orderedAt, Duration timeout) {
    boolean isComplete() {
      return order.runner().weightVersion(order.model()) >= order.version();
    }
  }
}
