package org.dragonflyhill.daemon.relay;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.dragonflyhill.core.relay.LeaderLease;
import org.dragonflyhill.core.relay.PartDirectory;
import org.dragonflyhill.core.relay.Runner;
import org.dragonflyhill.core.relay.Service;
import org.dragonflyhill.core.relay.WeightsInUse;
import org.dragonflyhill.core.relay.WeightsRollout;

/**
 * Brings runners to the weights that were named: takes the lease while there is work, gives orders
 * under it, and looks whether they were carried out.
 */
public final class WeightsController {

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /** Longest random wait of a node that was not the last holder, so that few try at once. */
  private static final Duration MAX_TAKEOVER_DELAY = Duration.ofMillis(500);

  /** Pause between questions to a runner that changes its weights. */
  private static final Duration QUERY_INTERVAL = Duration.ofMillis(150);

  /** Difference of steady and wall clock that shows a suspension, in nanoseconds. */
  private static final long SUSPENSION_THRESHOLD_NANOS = Duration.ofMillis(300).toNanos();

  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

  /** Parts that one call frees. */
  private static final int MAX_PARTS_PER_CALL = 500;

  private final EventLoop loop;
  private final RelayState state;
  private final LeaseLog log;
  private final RunnerOrders orders;
  private final String node;
  private final String holder;
  private final LongSupplier wallClockMillis;
  private final WeightsInUse inUse;
  private final LeaderLease lease;
  private final WeightsRollout rollout = new WeightsRollout();
  private final Map<String, Instant> queriedAt = new HashMap<>();
  private boolean isAppending;
  private Instant outdatedSince = Instant.MAX;
  private Duration takeoverDelay = Duration.ZERO;
  private Instant lastSweepAt = Instant.MIN;
  private long clockOffsetNanos;

  /**
   * Prepares a controller.
   *
   * @param loop event loop
   * @param state what the node knows
   * @param log log of the lease
   * @param orders orders to runners
   * @param node name of this node
   * @param incarnation number of this start
   * @param handoverDelay time that must pass between orders of two living holders
   * @param inUse knows when old parts can be freed
   * @param wallClockMillis the time of day, to notice suspensions by
   */
  public WeightsController(
      EventLoop loop,
      RelayState state,
      LeaseLog log,
      RunnerOrders orders,
      String node,
      long incarnation,
      Duration handoverDelay,
      WeightsInUse inUse,
      LongSupplier wallClockMillis) {
    this.inUse = inUse;
    this.loop = loop;
    this.state = state;
    this.log = log;
    this.orders = orders;
    this.node = node;
    this.holder = node + "/" + incarnation;
    this.wallClockMillis = wallClockMillis;
    lease = new LeaderLease(holder, handoverDelay);
    clockOffsetNanos = clockOffset(state.now());
  }

  /** Begins to look after weights. */
  public void start() {
    log.follow(
        tail -> {
          boolean wasHeld = lease.held(state.now()).isPresent();
          lease.observeLog(tail.end(), tail.holder(), state.now());
          if (wasHeld && lease.held(state.now()).isEmpty()) {
            state.log().info("duty_lost", event -> event.with("to", tail.holder().orElse("")));
          }
        });
    loop.scheduleWithFixedDelay(
        this::tick, CHECK_INTERVAL.toMillis(), CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void tick() {
    Instant now = state.now();
    detectSuspension(now);
    List<WeightsRollout.OutdatedRunner> outdated =
        WeightsRollout.outdatedRunners(
            state.runners().all(),
            state.newestWeights(),
            runner -> runner.running() + state.peers().running(runner.id(), now));
    // A leaving runner gets no orders, but what it runs may still read old parts.
    inUse.observe(state.runners().all(), now);
    freeReplacedParts(now);
    if (outdated.isEmpty() || state.isStopping()) {
      outdatedSince = Instant.MAX;
      rollout.clear();
    } else {
      if (outdatedSince.equals(Instant.MAX)) {
        outdatedSince = now;
        takeoverDelay = chooseTakeoverDelay();
      }
      rollOut(outdated, now);
    }
    for (Runner runner : state.runners().all()) {
      runner.setChangingWeights(rollout.changingRunners().contains(runner.id()));
    }
  }

  /**
   * Frees parts of replaced weights in managed stores once no runner can read them any more. Only
   * the last holder of the lease does, so that a part is freed once, and only while it reaches the
   * log: cut off, it does not learn that another took the lease, nor of new runners.
   */
  private void freeReplacedParts(Instant now) {
    boolean isLastHolder = lease.lastHolder().filter(holder::equals).isPresent();
    boolean isDue = Duration.between(lastSweepAt, now).compareTo(SWEEP_INTERVAL) >= 0;
    if (!isLastHolder || !isDue || !state.isLogReachable()) {
      return;
    }
    lastSweepAt = now;
    for (Service.Store store : state.managedStores()) {
      List<PartDirectory.Key> old =
          state.partsOfReplacedWeights(store.endpoint(), inUse, MAX_PARTS_PER_CALL);
      if (!old.isEmpty()) {
        state
            .log()
            .info(
                "parts_freed",
                event -> event.with("store", store.name()).with("parts", old.size()));
        orders.freeParts(store.endpoint(), old, result -> onPartsFreed(store, old, result));
      }
    }
  }

  private void onPartsFreed(
      Service.Store store, List<PartDirectory.Key> parts, Either<String, Boolean> result) {
    if (result.isLeft()) {
      state
          .log()
          .info(
              "free_unanswered",
              event -> event.with("store", store.name()).with("error", result.getLeft()));
      return;
    }
    for (PartDirectory.Key key : parts) {
      state.parts().setTokens(store.endpoint(), key.salt(), key.part(), 0);
    }
  }

  private Duration chooseTakeoverDelay() {
    if (lease.lastHolder().filter(holder::equals).isPresent()) {
      return Duration.ZERO;
    }
    return Duration.ofMillis(
        ThreadLocalRandom.current().nextLong(50, MAX_TAKEOVER_DELAY.toMillis()));
  }

  /** A process that was suspended does not know how long: its lease may be over. */
  private void detectSuspension(Instant now) {
    long offset = clockOffset(now);
    if (Math.abs(offset - clockOffsetNanos) > SUSPENSION_THRESHOLD_NANOS) {
      state
          .log()
          .info(
              "clock_jumped",
              event -> event.with("by_ms", (offset - clockOffsetNanos) / 1_000_000));
      lease.drop();
    }
    clockOffsetNanos = offset;
  }

  private long clockOffset(Instant now) {
    return wallClockMillis.getAsLong() * 1_000_000 - now.toEpochMilli() * 1_000_000;
  }

  private void rollOut(List<WeightsRollout.OutdatedRunner> outdated, Instant now) {
    if (lease.held(now).isPresent()) {
      if (lease.isRenewalDue(now)) {
        append(now);
      }
      sendOrders(outdated, now);
      return;
    }
    rollout.clear();
    boolean isOtherActive =
        lease.lastHolder().filter(last -> isOtherNodeActive(last, now)).isPresent();
    boolean hasWaited = Duration.between(outdatedSince, now).compareTo(takeoverDelay) >= 0;
    if (hasWaited && lease.mayAcquire(isOtherActive, now)) {
      append(now);
    }
  }

  private boolean isOtherNodeActive(String lastHolder, Instant now) {
    String name = lastHolder.substring(0, Math.max(0, lastHolder.lastIndexOf('/')));
    return !name.equals(node) && state.peers().isActive(name, now);
  }

  private void append(Instant now) {
    if (isAppending) {
      return;
    }
    isAppending = true;
    log.append(lease.nextOffset(), holder, result -> onAppended(now, result));
  }

  private void onAppended(Instant sentAt, Either<String, LeaseLog.Outcome> result) {
    isAppending = false;
    if (result.isLeft()) {
      // The follower tells whether the record is in the log after all.
      state.log().info("duty_append_failed", event -> event.with("error", result.getLeft()));
      return;
    }
    switch (result.get()) {
      case LeaseLog.Outcome.Appended appended -> {
        boolean isNew = lease.held(state.now()).isEmpty();
        lease.confirmAppend(appended.offset(), sentAt, state.now());
        if (isNew) {
          state.log().info("duty_taken", event -> event.with("token", appended.offset()));
        }
      }
      case LeaseLog.Outcome.Conflict overtaken -> lease.drop();
    }
  }

  private void sendOrders(List<WeightsRollout.OutdatedRunner> outdated, Instant now) {
    for (WeightsRollout.OutdatedRunner entry : rollout.nextOrders(outdated, now)) {
      lease.held(state.now()).ifPresent(held -> sendOrder(entry, held));
    }
    for (WeightsRollout.OutdatedRunner entry : outdated) {
      if (rollout.changingRunners().contains(entry.runner().id())) {
        queryWeights(entry.runner(), now);
      }
    }
  }

  private void sendOrder(WeightsRollout.OutdatedRunner entry, LeaderLease.Held held) {
    Runner runner = entry.runner();
    state
        .log()
        .info(
            "weights_ordered",
            event ->
                event
                    .with("runner", runner.id())
                    .with("model", entry.model())
                    .with("version", entry.version())
                    .with("before", runner.weightVersion(entry.model()))
                    .with("token", held.token()));
    queriedAt.put(runner.id(), state.now());
    orders.changeWeights(
        runner.info(),
        entry.model(),
        entry.version(),
        node,
        held.token(),
        result -> onOrderResult(entry, result));
  }

  private void onOrderResult(
      WeightsRollout.OutdatedRunner entry, Either<String, RunnerOrders.Outcome> result) {
    Runner runner = entry.runner();
    if (result.isLeft()) {
      state
          .log()
          .info(
              "order_unanswered",
              event -> event.with("runner", runner.id()).with("error", result.getLeft()));
      return;
    }
    switch (result.get()) {
      case ALREADY_APPLIED -> runner.observeWeightVersion(entry.model(), entry.version());
      case REJECTED -> rollout.orderRejected(runner.id());
      case FENCED -> {
        state.log().info("duty_fenced", event -> event.with("runner", runner.id()));
        lease.drop();
        rollout.clear();
      }
      default -> {
        // The runner carries an order out; whether it was this one shows in its report.
      }
    }
  }

  private void queryWeights(Runner runner, Instant now) {
    Instant last = queriedAt.getOrDefault(runner.id(), Instant.MIN);
    if (Duration.between(last, now).compareTo(QUERY_INTERVAL) < 0) {
      return;
    }
    queriedAt.put(runner.id(), now);
    orders.queryWeights(
        runner.info(), result -> result.peek(weights -> onWeightsReported(runner, weights)));
  }

  private void onWeightsReported(Runner runner, Map<String, Long> weights) {
    weights.forEach(
        (model, version) -> {
          if (version > runner.weightVersion(model)) {
            state
                .log()
                .info(
                    "weights_changed",
                    event -> event.with("runner", runner.id()).with("version", version));
          }
          runner.observeWeightVersion(model, version);
        });
  }
}
