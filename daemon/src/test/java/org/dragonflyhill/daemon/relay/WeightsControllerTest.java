package org.dragonflyhill.daemon.relay;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.LeaderLease;
import org.dragonflyhill.core.relay.LogPosition;
import org.dragonflyhill.core.relay.PartDirectory;
import org.dragonflyhill.core.relay.RelayConfiguration;
import org.dragonflyhill.core.relay.RunnerInfo;
import org.dragonflyhill.core.relay.Service;
import org.dragonflyhill.core.relay.SharedRetryBudget;
import org.dragonflyhill.core.relay.WeightsDeadline;
import org.dragonflyhill.core.relay.WeightsInUse;
import org.dragonflyhill.daemon.MonotonicClock;
import org.dragonflyhill.daemon.NodeMetrics;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the rollout of new weights and the freeing of the parts of old ones. */
public final class WeightsControllerTest {

  private static final Endpoint STORE = new Endpoint("10.9.0.1", 80);
  private static final Duration HANDOVER_DELAY = Duration.ofSeconds(3);
  private static final int RUNNERS = 5;

  private MultiThreadIoEventLoopGroup group;
  private EventLoop loop;
  private RelayState state;
  private FakeLeaseLog log;
  private FakeOrders orders;

  /** Creates a node that knows five runners with old weights and a store with old parts. */
  @BeforeMethod
  public void start() throws Exception {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
    log = new FakeLeaseLog();
    orders = new FakeOrders();
    MonotonicClock clock = new MonotonicClock();
    state =
        new RelayState(
            "n1",
            "z",
            new SharedRetryBudget.Limits(Duration.ofSeconds(10), 0.2, 10, 0.5),
            new WeightsDeadline(Duration.ofSeconds(60)),
            clock,
            new DecisionLog(clock),
            new NodeMetrics());
    onLoop(
        () -> {
          Service store = new Service.Store("k", STORE, "z", 100_000, 1e9, true, 4);
          state.applyConfiguration(
              new RelayConfiguration(
                  1,
                  List.of(),
                  List.of(store),
                  List.of(),
                  RelayConfiguration.CallerLimits.DEFAULT));
          for (int i = 0; i < RUNNERS; i++) {
            Endpoint endpoint = new Endpoint("10.0.0." + i, 80);
            state.addOrUpdateRunner(
                new RunnerInfo(
                    "r" + i, "s", endpoint, "z", 8, false, Map.of("m", 1L), Optional.empty(), 1));
          }
          state.parts().setTokens(STORE, "m@1", "old", 100);
          state.parts().setTokens(STORE, "m@2", "new", 100);
          state.parts().setTokens(STORE, "m@3", "newer", 100);
          state.setLogReachable(true);
          return null;
        });
    loop.scheduleWithFixedDelay(
        () -> state.parts().markFresh(STORE, state.now()), 0, 100, TimeUnit.MILLISECONDS);
  }

  /** Stops the event loop. */
  @AfterMethod
  public void stop() throws InterruptedException {
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync();
  }

  private <T> T onLoop(Callable<T> task) throws Exception {
    return loop.submit(task).get();
  }

  private void startController(String node) throws Exception {
    onLoop(
        () -> {
          new WeightsController(
                  loop,
                  state,
                  log,
                  orders,
                  node,
                  1,
                  HANDOVER_DELAY,
                  new WeightsInUse(state.now().minus(WeightsInUse.MAX_UNLISTED_LIFETIME)),
                  System::currentTimeMillis)
              .start();
          state.weights().announce("m", 2, Optional.of(state.now()));
          return null;
        });
  }

  /**
   * All runners change their weights, at most three at a time and under one fencing token. Then the
   * old parts are freed.
   */
  @Test
  public void rollsOutAndFreesOldParts() throws Exception {
    startController("me");
    await().atMost(Duration.ofSeconds(8)).until(() -> orders.changed.size() == RUNNERS);
    assertTrue(orders.maxConcurrentChanges <= 3, "at once: " + orders.maxConcurrentChanges);
    assertEquals(orders.tokens.stream().distinct().toList(), List.of(0L));
    Instant changedAt = Instant.now();
    await().atMost(Duration.ofSeconds(8)).until(() -> !orders.freed.isEmpty());
    long waited = Duration.between(changedAt, Instant.now()).toMillis();
    assertTrue(waited > WeightsInUse.FETCH_DRAIN_TIME.toMillis() - 300, "waited " + waited);
    assertEquals(orders.freed, List.of(new PartDirectory.Key("m@1", "old")));
  }

  private void recordConnectAttempts(boolean areConnected) throws Exception {
    onLoop(
        () -> {
          state.runners().all().stream()
              .map(runner -> runner.info().endpoint())
              .toList()
              .forEach(endpoint -> state.recordConnectAttempt(endpoint, areConnected));
          return null;
        });
  }

  /** A node that reaches no runner must leave the orders to one that does. */
  @Test
  public void takesNoLeaseWhileRunnersAreOutOfReach() throws Exception {
    recordConnectAttempts(false);
    startController("me");
    await()
        .during(Duration.ofSeconds(3))
        .atMost(Duration.ofSeconds(5))
        .until(() -> orders.changed.isEmpty() && onLoop(() -> log.holder.isEmpty()));
    recordConnectAttempts(true);
    await().atMost(Duration.ofSeconds(8)).until(() -> orders.changed.size() == RUNNERS);
  }

  /**
   * Guards against a rollout that nobody carries out: a node gave no orders at all while one
   * service with a runner behind was out of its reach, and each node may be cut off from another
   * one.
   */
  @Test
  public void ordersRunnersInReachWhileAnotherServiceIsNot() throws Exception {
    onLoop(
        () -> {
          Endpoint endpoint = new Endpoint("10.0.1.1", 80);
          state.addOrUpdateRunner(
              new RunnerInfo(
                  "far", "t", endpoint, "z", 8, false, Map.of("m", 1L), Optional.empty(), 1));
          state.recordConnectAttempt(endpoint, false);
          return null;
        });
    startController("me");
    await().atMost(Duration.ofSeconds(8)).until(() -> orders.changed.size() == RUNNERS);
    assertFalse(orders.changed.contains("far"));
  }

  /**
   * Guards against a lease that nobody else gets: its holder reaches none of the runners that are
   * left, and renewed it all the while.
   */
  @Test
  public void leavesTheLeaseIfNoOrderReachesTheRunnersLeft() throws Exception {
    orders.unreached.add("r4");
    startController("me");
    await().atMost(Duration.ofSeconds(8)).until(() -> orders.changed.size() == RUNNERS - 1);
    await()
        .atMost(Duration.ofSeconds(6))
        .until(
            () -> {
              long records = onLoop(() -> log.end.offset());
              Thread.sleep(LeaderLease.DURATION.toMillis());
              return onLoop(() -> log.end.offset()) == records;
            });
    orders.unreached.clear();
    await().atMost(Duration.ofSeconds(12)).until(() -> orders.changed.size() == RUNNERS);
  }

  /**
   * Guards against a lease holder that cannot reach the log and so does not learn of newer weights:
   * it knew version 2 as the newest and freed parts of version 3. Found by a randomised run of the
   * Strunova deployment, hunt-0978-19.
   */
  @Test
  public void freesOnlyOldPartsAndNothingWithoutLog() throws Exception {
    startController("me");
    await().atMost(Duration.ofSeconds(8)).until(() -> orders.changed.size() == RUNNERS);
    onLoop(
        () -> {
          state.setLogReachable(false);
          return null;
        });
    await()
        .during(Duration.ofSeconds(4))
        .atMost(Duration.ofSeconds(6))
        .until(orders.freed::isEmpty);
    onLoop(
        () -> {
          state.setLogReachable(true);
          return null;
        });
    await().atMost(Duration.ofSeconds(4)).until(() -> !orders.freed.isEmpty());
    assertEquals(orders.freed, List.of(new PartDirectory.Key("m@1", "old")));
  }

  /**
   * Guards against freeing a part while a draining runner reads it. A draining runner gets no
   * order, and as long as it has old weights, their parts must not be freed. Found by a randomised
   * run of the Strunova deployment, hunt-0978-19.
   */
  @Test
  public void freesNothingThatDrainingRunnerMayRead() throws Exception {
    onLoop(
        () -> {
          Endpoint endpoint = new Endpoint("10.0.0.9", 80);
          state.addOrUpdateRunner(
              new RunnerInfo(
                  "leaving", "s", endpoint, "z", 8, true, Map.of("m", 1L), Optional.empty(), 1));
          return null;
        });
    startController("me");
    await().atMost(Duration.ofSeconds(8)).until(() -> orders.changed.size() == RUNNERS);
    await()
        .during(Duration.ofSeconds(4))
        .atMost(Duration.ofSeconds(6))
        .until(orders.freed::isEmpty);
  }

  /**
   * No orders are sent while another node holds the lease. The first order afterwards has the
   * fencing token of this node's own lease.
   */
  @Test
  public void sendsNoOrdersWhileAnotherNodeHoldsLease() throws Exception {
    log.append(new LogPosition(0, 0), "other/1", result -> {});
    startController("me");
    await().during(Duration.ofMillis(1_200)).until(() -> orders.tokens.isEmpty());
    await().atMost(Duration.ofSeconds(4)).until(() -> !orders.tokens.isEmpty());
    assertEquals(orders.tokens.get(0), Long.valueOf(1));
  }

  /** The node sends no more orders once a runner has seen a newer fencing token. */
  @Test
  public void stopsWhenFenced() throws Exception {
    orders.outcome = RunnerOrders.Outcome.FENCED;
    startController("me");
    await().until(() -> !orders.tokens.isEmpty());
    int before = orders.tokens.size();
    assertTrue(before <= 3, "orders before the refusal: " + before);
  }

  /**
   * Guards against orders of two nodes with one fencing token (review case 1): the log came back
   * from a copy without any lease record. The next order comes after the lease of a holder that the
   * copy lacks, and has a higher token.
   */
  @Test
  public void ordersWithHigherTokenAfterTheLogWasRestored() throws Exception {
    startController("me");
    await().atMost(Duration.ofSeconds(8)).until(() -> orders.changed.size() == RUNNERS);
    // The lease is renewed until the last runner is seen to have changed; let it expire.
    Thread.sleep(LeaderLease.DURATION.plusMillis(600).toMillis());
    List<Long> before = List.copyOf(orders.tokens);
    Instant restoredAt = Instant.now();
    onLoop(
        () -> {
          log.restoreEmpty();
          state.weights().announce("m", 3, Optional.of(state.now()));
          return null;
        });
    await().atMost(Duration.ofSeconds(12)).until(() -> orders.tokens.size() > before.size());
    Duration waited = Duration.between(restoredAt, Instant.now());
    assertTrue(waited.compareTo(HANDOVER_DELAY.plus(LeaderLease.DURATION)) > 0, "after " + waited);
    long token = orders.tokens.get(before.size());
    assertTrue(token > Collections.max(before), token + " after " + before);
  }

  /** In-memory log that notifies its listener of each record. */
  private static final class FakeLeaseLog implements LeaseLog {
    private LogPosition end = new LogPosition(0, 0);
    private Optional<String> holder = Optional.empty();
    private Consumer<Tail> listener = newest -> {};

    @Override
    public void follow(Consumer<Tail> onChange) {
      listener = onChange;
      onChange.accept(new Tail(end, holder));
    }

    /** Restores an empty copy of the log. */
    void restoreEmpty() {
      end = new LogPosition(end.epoch() + 1, 0);
      holder = Optional.empty();
      listener.accept(new Tail(end, holder));
    }

    @Override
    public void append(
        LogPosition expectedEnd, String newHolder, Consumer<Either<String, Outcome>> done) {
      if (!expectedEnd.equals(end)) {
        done.accept(Either.right(new Outcome.Conflict()));
        return;
      }
      end = end.next();
      holder = Optional.of(newHolder);
      done.accept(Either.right(new Outcome.Appended(expectedEnd)));
      listener.accept(new Tail(end, holder));
    }
  }

  /** Runners that have changed their weights by the second query. */
  private static final class FakeOrders implements RunnerOrders {
    private final List<Long> tokens = new CopyOnWriteArrayList<>();
    private final List<String> changed = new CopyOnWriteArrayList<>();
    private final List<PartDirectory.Key> freed = new CopyOnWriteArrayList<>();
    private final Map<String, Integer> queries = new HashMap<>();
    private final Set<String> unreached = ConcurrentHashMap.newKeySet();
    private volatile Outcome outcome = Outcome.ACCEPTED;
    private volatile int maxConcurrentChanges;

    @Override
    public void changeWeights(
        RunnerInfo runner,
        String model,
        long version,
        SwitchMode mode,
        long revision,
        String holder,
        long fencingToken,
        Consumer<Either<String, Outcome>> done) {
      tokens.add(fencingToken);
      queries.put(runner.id(), 0);
      maxConcurrentChanges = Math.max(maxConcurrentChanges, queries.size());
      done.accept(Either.right(outcome));
    }

    @Override
    public void queryWeights(RunnerInfo runner, Consumer<Either<String, WeightsReport>> done) {
      if (unreached.contains(runner.id())) {
        done.accept(Either.left("no response"));
        return;
      }
      int queryCount = queries.merge(runner.id(), 1, Integer::sum);
      if (queryCount >= 2 && !changed.contains(runner.id())) {
        queries.remove(runner.id());
        changed.add(runner.id());
      }
      Map<String, Long> versions = Map.of("m", changed.contains(runner.id()) ? 2L : 1L);
      done.accept(Either.right(new WeightsReport(versions, 0)));
    }

    @Override
    public void freeParts(
        Endpoint store, List<PartDirectory.Key> parts, Consumer<Either<String, Boolean>> done) {
      freed.addAll(parts);
      done.accept(Either.right(true));
    }
  }
}
