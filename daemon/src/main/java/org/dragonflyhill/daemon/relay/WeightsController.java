package org.dragonflyhill.daemon.relay;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import org.dragonflyhill.core.relay.LeaderLease;
import org.dragonflyhill.core.relay.LogPosition;
import org.dragonflyhill.core.relay.PartDirectory;
import org.dragonflyhill.core.relay.Runner;
import org.dragonflyhill.core.relay.Service;
import org.dragonflyhill.core.relay.WeightsInUse;
import org.dragonflyhill.core.relay.WeightsRollout;

/**
 * Rolls announced weight versions out to the runners. While runners are behind, one node at a time
 * holds a lease, orders them to change their weights, and checks that they did.
 *
 * <p>The last holder of the lease also frees the cached parts of replaced weights.
 */
public final class WeightsController {

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /**
   * Maximum of the random delay before a node that did not hold the lease last tries to take it.
   * The delay keeps many nodes from trying at once.
   */
  private static final Duration MAX_TAKEOVER_DELAY = Duration.ofMillis(500);

  /**
   * Delay of a node that reaches only some of the runners that are behind, so that one which
   * reaches all of them takes the lease first.
   */
  private static final Duration PARTIAL_REACH_DELAY = Duration.ofMillis(700);

  /**
   * Time that a node leaves the lease to others after it has given up on a runner. Otherwise the
   * nodes that do not reach it could take the lease in turns.
   */
  private static final Duration YIELD_TIME = Duration.ofMillis(700);

  /** Interval between queries to a runner that is changing its weights. */
  private static final Duration QUERY_INTERVAL = Duration.ofMillis(150);

  /**
   * Change of the offset between wall clock and monotonic clock, in nanoseconds, above which the
   * process is assumed to have been suspended.
   */
  private static final long SUSPENSION_THRESHOLD_NANOS = Duration.ofMillis(300).toNanos();

  /** Interval between log lines while runners are behind. */
  private static final Duration STATUS_INTERVAL = Duration.ofSeconds(1);

  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

  /** Maximum number of parts that one request frees. */
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

  /** Time since which this node might have taken the lease. */
  private Instant acquirableSince = Instant.MAX;

  private Duration takeoverDelay = Duration.ZERO;
  private Instant lastSweepAt = Instant.MIN;
  private Instant lastStatusAt = Instant.MIN;
  private long clockOffsetNanos;

  /**
   * Creates a controller that has not started.
   *
   * @param loop event loop of the node
   * @param state state of the node
   * @param log log that decides who holds the lease
   * @param orders control interface of the runners and stores
   * @param node name of this node
   * @param incarnation number of this start of the node
   * @param handoverDelay additional wait before the lease is taken from a holder that is still
   *     alive
   * @param inUse tracks which weight versions runners may still have
   * @param wallClockMillis wall clock time in milliseconds, to detect suspensions
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

  /** Starts to follow the lease and to roll out weights. */
  public void start() {
    log.follow(
        tail -> {
          boolean wasHeld = lease.held(state.now()).isPresent();
          lease.observeLog(tail.end(), tail.holder(), state.now());
          if (wasHeld && lease.held(state.now()).isEmpty()) {
            state.log().info("duty_lost", event -> event.with("to", tail.holder().orElse("")));
          }
        });
    PeriodicTask.schedule(loop, CHECK_INTERVAL, state.log(), this::runCheck);
  }

  private void runCheck() {
    Instant now = state.now();
    detectSuspension(now);
    final List<WeightsRollout.OutdatedRunner> outdated =
        WeightsRollout.outdatedRunners(
            state.runners().all(),
            state.weights().announced(),
            runner -> runner.running() + state.peers().running(runner.id(), now));
    state.setNeedsOwnReads(lease.lastHolder().filter(holder::equals).isPresent());
    // A draining runner gets no orders, but its running requests may still read old parts.
    inUse.observe(state.runners().all(), now);
    freeReplacedParts(now);
    List<WeightsRollout.OutdatedRunner> inReach =
        outdated.stream().filter(entry -> isInReach(entry.runner(), now)).toList();
    if (inReach.isEmpty() || state.isStopping()) {
      // The lease expires, so that a node which reaches the runners left can take it.
      outdatedSince = Instant.MAX;
      rollout.clear();
    } else {
      if (outdatedSince.equals(Instant.MAX)) {
        outdatedSince = now;
        takeoverDelay = chooseTakeoverDelay(inReach.size() == outdated.size());
      }
      rollOut(outdated, now);
    }
    logStatus(outdated, inReach.isEmpty(), now);
    for (Runner runner : state.runners().all()) {
      runner.setChangingWeights(rollout.changingRunners().contains(runner.id()));
    }
  }

  /** Logs which runners are behind and why this node gives them no orders, if it does not. */
  private void logStatus(
      List<WeightsRollout.OutdatedRunner> outdated, boolean isNoneInReach, Instant now) {
    if (outdated.isEmpty() || Duration.between(lastStatusAt, now).compareTo(STATUS_INTERVAL) < 0) {
      return;
    }
    lastStatusAt = now;
    String role =
        state.isStopping()
            ? "stopping"
            : isNoneInReach
                ? "out of reach"
                : lease.held(now).isPresent() ? "gives orders" : "waits";
    Duration age = Duration.between(outdated.get(0).replacedAt(), now);
    state
        .log()
        .info(
            "weights_behind",
            event ->
                event
                    .with("runners", outdated.stream().map(each -> each.runner().id()).toList())
                    .with("changing", rollout.changingRunners())
                    .with("longest_ms", age.toMillis())
                    .with("role", role)
                    .with("holder", lease.lastHolder().orElse("")));
  }

  /** Returns whether orders of this node may reach a runner; if not, another node's may. */
  private boolean isInReach(Runner runner, Instant now) {
    return !state.isOutOfReach(runner.info().service()) && !rollout.isPaused(runner.id(), now);
  }

  /**
   * Frees parts of replaced weights in managed stores once no runner can read them any more. Only
   * the last holder of the lease does so, which keeps several nodes from freeing the same parts,
   * and only while the log service is reachable: otherwise the node would miss that another took
   * the lease, and would not learn of new runners.
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

  private Duration chooseTakeoverDelay(boolean areAllInReach) {
    Duration delay = areAllInReach ? Duration.ZERO : PARTIAL_REACH_DELAY;
    if (lease.lastHolder().filter(holder::equals).isPresent()) {
      return delay;
    }
    return delay.plusMillis(
        ThreadLocalRandom.current().nextLong(50, MAX_TAKEOVER_DELAY.toMillis()));
  }

  /** Gives up the lease after a suspension of the process, since it may have expired meanwhile. */
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
        appendLeaseRecord(now);
      }
      sendOrders(outdated, now);
      return;
    }
    rollout.clear();
    boolean isOtherActive =
        lease.lastHolder().filter(last -> isOtherNodeActive(last, now)).isPresent();
    boolean hasWaited = Duration.between(outdatedSince, now).compareTo(takeoverDelay) >= 0;
    if (!hasWaited || !lease.mayAcquire(isOtherActive, now)) {
      acquirableSince = Instant.MAX;
      return;
    }
    acquirableSince = acquirableSince.equals(Instant.MAX) ? now : acquirableSince;
    if (!rollout.hasGivenUp() || !now.isBefore(acquirableSince.plus(YIELD_TIME))) {
      appendLeaseRecord(now);
    }
  }

  private boolean isOtherNodeActive(String lastHolder, Instant now) {
    int separator = lastHolder.lastIndexOf('/');
    try {
      String name = lastHolder.substring(0, Math.max(0, separator));
      long incarnation = Long.parseLong(lastHolder.substring(separator + 1));
      return !name.equals(node) && state.peers().isActive(name, incarnation, now);
    } catch (NumberFormatException e) {
      state.log().info("duty_unreadable", event -> event.with("holder", lastHolder));
      return false;
    }
  }

  private void appendLeaseRecord(Instant now) {
    if (isAppending) {
      return;
    }
    isAppending = true;
    LogPosition expectedEnd = lease.logEnd();
    log.append(expectedEnd, holder, result -> onAppended(expectedEnd, now, result));
  }

  private void onAppended(
      LogPosition expectedEnd, Instant sentAt, Either<String, LeaseLog.Outcome> result) {
    isAppending = false;
    if (result.isLeft()) {
      // The record may be in the log nevertheless; if so, it arrives through the follower.
      state.log().info("duty_append_failed", event -> event.with("error", result.getLeft()));
      return;
    }
    switch (result.get()) {
      case LeaseLog.Outcome.Appended appended ->
          onAppended(expectedEnd, sentAt, appended.position());
      case LeaseLog.Outcome.Conflict conflict -> lease.drop();
    }
  }

  private void onAppended(LogPosition expectedEnd, Instant sentAt, LogPosition position) {
    Instant now = state.now();
    if (position.epoch() != expectedEnd.epoch()) {
      // The log was restored in between, and another node may have been granted the lease before.
      lease.observeLog(position.next(), Optional.of(holder), now);
      return;
    }
    boolean isNew = lease.held(now).isEmpty();
    lease.confirmAppend(position, sentAt, now);
    if (isNew) {
      state
          .log()
          .info(
              "duty_taken",
              event ->
                  event
                      .with("token", position.fencingToken())
                      .with("epoch", position.epoch())
                      .with("offset", position.offset()));
    }
  }

  private void sendOrders(List<WeightsRollout.OutdatedRunner> outdated, Instant now) {
    int runners = state.runners().all().size();
    List<WeightsRollout.OutdatedRunner> ofServicesInReach =
        outdated.stream()
            .filter(entry -> !state.isOutOfReach(entry.runner().info().service()))
            .toList();
    for (WeightsRollout.OutdatedRunner entry :
        rollout.nextOrders(ofServicesInReach, runners, now)) {
      prepareOrder(entry);
    }
    for (WeightsRollout.OutdatedRunner entry : outdated) {
      if (rollout.changingRunners().contains(entry.runner().id())) {
        queryWeights(entry.runner(), now);
      }
    }
  }

  /** Queries a runner's revision and then sends it an order that is valid for this one only. */
  private void prepareOrder(WeightsRollout.OutdatedRunner entry) {
    Runner runner = entry.runner();
    queriedAt.put(runner.id(), state.now());
    orders.queryWeights(
        runner.info(),
        result -> {
          if (result.isLeft()) {
            rollout.orderNotDelivered(runner.id(), state.now());
            logUnanswered(runner, result.getLeft());
            return;
          }
          onWeightsReported(runner, result.get().versions());
          boolean isBehind = runner.weightVersion(entry.model()) < entry.version();
          lease
              .held(state.now())
              .filter(held -> isBehind)
              .ifPresent(held -> sendOrder(entry, result.get().revision(), held));
        });
  }

  private void sendOrder(
      WeightsRollout.OutdatedRunner entry, long revision, LeaderLease.Held held) {
    Runner runner = entry.runner();
    RunnerOrders.SwitchMode mode =
        state.weights().deadline().isChangeUrgent(entry.replacedAt(), state.now())
            ? RunnerOrders.SwitchMode.IMMEDIATE
            : RunnerOrders.SwitchMode.AFTER_RUNNING;
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
                    .with("mode", mode)
                    .with("revision", revision)
                    .with("token", held.token()));
    orders.changeWeights(
        runner.info(),
        entry.model(),
        entry.version(),
        mode,
        revision,
        node,
        held.token(),
        result -> onOrderResult(entry, result));
  }

  private void logUnanswered(Runner runner, String error) {
    state
        .log()
        .info("order_unanswered", event -> event.with("runner", runner.id()).with("error", error));
  }

  private void onOrderResult(
      WeightsRollout.OutdatedRunner entry, Either<String, RunnerOrders.Outcome> result) {
    Runner runner = entry.runner();
    if (result.isLeft()) {
      rollout.orderUnanswered(runner.id());
      logUnanswered(runner, result.getLeft());
      return;
    }
    if (result.get() == RunnerOrders.Outcome.NOT_DELIVERED) {
      rollout.orderNotDelivered(runner.id(), state.now());
      logUnanswered(runner, "no connection for an order");
      return;
    }
    rollout.orderAnswered(runner.id());
    switch (result.get()) {
      case BUSY -> rollout.orderPostponed(runner.id());
      case ALREADY_APPLIED ->
          state.weights().observe(runner, entry.model(), entry.version(), "order");
      case REJECTED -> rollout.orderRejected(runner.id());
      case FENCED -> {
        state.log().info("duty_fenced", event -> event.with("runner", runner.id()));
        lease.drop();
        rollout.clear();
      }
      default -> {
        // The runner is carrying out the order; its report shows when it is complete.
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
        runner.info(),
        result -> result.peek(report -> onWeightsReported(runner, report.versions())));
  }

  private void onWeightsReported(Runner runner, Map<String, Long> weights) {
    weights.forEach((model, version) -> state.weights().observe(runner, model, version, "report"));
  }
}
