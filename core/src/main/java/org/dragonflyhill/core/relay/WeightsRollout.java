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
 * replaced first, and among these the least loaded. Runners that orders do not reach take up one
 * place only while others wait.
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

  /**
   * Number of orders in a row without an answer from which they are assumed not to reach the
   * runner. A single answer may be lost on the way.
   */
  public static final int MAX_UNANSWERED_ORDERS = 2;

  /** Number of orders to runners that they do not reach, while other runners wait. */
  private static final int MAX_UNREACHED_CHANGES = 1;

  /**
   * Number of orders in a row without an answer after which a runner that they do not reach gets
   * none for a while. One that only leaves orders unanswered may still carry them out.
   */
  private static final int ORDERS_BEFORE_PAUSE = 4;

  /**
   * Time for which a runner that orders do not reach gets none of this node. It is longer than a
   * node waits before it takes the lease from a live holder, so that another one can try.
   */
  public static final Duration PAUSE = Duration.ofMillis(5_500);

  private final Map<String, Change> changes = new HashMap<>();

  /** Number of orders in a row without an answer, by runner. */
  private final Map<String, Integer> unanswered = new HashMap<>();

  /** Runners that this node has given up on. */
  private final Set<String> givenUp = new HashSet<>();

  /**
   * End of the pause of all given-up runners. With a pause for each, a node might always have one
   * left to try, and keep the lease.
   */
  private Instant pausedUntil = Instant.MIN;

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
    boolean areOthersWaiting =
        outdated.stream()
            .map(entry -> entry.runner().id())
            .anyMatch(id -> !changes.containsKey(id) && !isUnreached(id));
    int maxUnreached = areOthersWaiting ? MAX_UNREACHED_CHANGES : limit;
    for (OutdatedRunner entry : outdated) {
      if (changes.size() >= limit) {
        break;
      }
      String id = entry.runner().id();
      boolean isOrderDue =
          !isPaused(id, now) && (!isUnreached(id) || unreachedChanges() < maxUnreached);
      if (isOrderDue && !changes.containsKey(id)) {
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
    unanswered.keySet().retainAll(outdatedIds);
    givenUp.retainAll(outdatedIds);
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
    unanswered.merge(runner, 1, Integer::sum);
    repeatSoon(runner);
  }

  /** Records that no order reaches a runner, for example because it sends nothing. */
  public void orderNotDelivered(String runner, Instant now) {
    int count = Math.max(unanswered.getOrDefault(runner, 0) + 1, MAX_UNANSWERED_ORDERS);
    unanswered.put(runner, count);
    if (count >= ORDERS_BEFORE_PAUSE) {
      givenUp.add(runner);
      pausedUntil = now.plus(PAUSE);
    }
    repeatSoon(runner);
  }

  /** Records that a runner is carrying out another order, so that this one is repeated soon. */
  public void orderPostponed(String runner) {
    repeatSoon(runner);
  }

  private void repeatSoon(String runner) {
    changes.computeIfPresent(
        runner,
        (id, change) -> new Change(change.order(), change.orderedAt(), UNANSWERED_ORDER_TIMEOUT));
  }

  /** Records that a runner has answered an order. */
  public void orderAnswered(String runner) {
    unanswered.remove(runner);
    givenUp.remove(runner);
  }

  /** Returns whether a runner gets no orders for a while, since none has reached it. */
  public boolean isPaused(String runner, Instant now) {
    return givenUp.contains(runner) && now.isBefore(pausedUntil);
  }

  /** Returns whether this node has given up on a runner that is still behind. */
  public boolean hasGivenUp() {
    return !givenUp.isEmpty();
  }

  private long unreachedChanges() {
    return changes.keySet().stream().filter(this::isUnreached).count();
  }

  /** Returns whether the last orders to a runner did not reach it. */
  public boolean isUnreached(String runner) {
    return unanswered.getOrDefault(runner, 0) >= MAX_UNANSWERED_ORDERS;
  }

  /** Removes the order of a runner that has rejected it. */
  public void orderRejected(String runner) {
    changes.remove(runner);
  }

  /** Returns the ids of the runners with an order that has not been observed to be complete. */
  public Set<String> changingRunners() {
    return changes.keySet();
  }

  /** Removes all orders, for a node that gives none at present. */
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
