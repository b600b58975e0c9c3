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
import org.dragonflyhill.core.relay.DutyLease;
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

  private static final Duration TICK = Duration.ofMillis(100);

  /** Longest random wait of a node that was not the last holder, so that few try at once. */
  private static final Duration LONGEST_PATIENCE = Duration.ofMillis(500);

  /** Pause between questions to a runner that changes its weights. */
  private static final Duration QUESTION_INTERVAL = Duration.ofMillis(150);

  /** Difference of steady and wall clock that shows a suspension, in nanoseconds. */
  private static final long SUSPENSION_NANOS = Duration.ofMillis(300).toNanos();

  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

  /** Parts that one call frees. */
  private static final int MAX_FREED = 500;

  private final EventLoop loop;
  private final RelayState state;
  private final DutyLog log;
  private final RunnerOrders orders;
  private final String node;
  private final String holder;
  private final LongSupplier wallMillis;
  private final WeightsInUse inUse;
  private final DutyLease lease;
  private final WeightsRollout rollout = new WeightsRollout();
  private final Map<String, Instant> askedAt = new HashMap<>();
  private boolean isAppending;
  private Instant workSince = Instant.MAX;
  private Duration patience = Duration.ZERO;
  private Instant sweptAt = Instant.MIN;
  private long clockGapNanos;

  /**
   * Prepares a controller.
   *
   * @param loop event loop
   * @param state what the node knows
   * @param log log of the lease
   * @param orders orders to runners
   * @param node name of this node
   * @param incarnation number of this start
   * @param turnGap time that must pass between orders of two living holders
   * @param inUse knows when old parts can be freed
   * @param wallMillis the time of day, to notice suspensions by
   */
  public WeightsController(
      EventLoop loop,
      RelayState state,
      DutyLog log,
      RunnerOrders orders,
      String node,
      long incarnation,
      Duration turnGap,
      WeightsInUse inUse,
      LongSupplier wallMillis) {
    this.inUse = inUse;
    this.loop = loop;
    this.state = state;
    this.log = log;
    this.orders = orders;
    this.node = node;
    this.holder = node + "/" + incarnation;
    this.wallMillis = wallMillis;
    lease = new DutyLease(holder, turnGap);
    clockGapNanos = clockGap(state.now());
  }

  /** Begins to look after weights. */
  public void start() {
    log.follow(
        newest -> {
          boolean isHeld = lease.held(state.now()).isPresent();
          lease.observed(newest.end(), newest.holder(), state.now());
          if (isHeld && lease.held(state.now()).isEmpty()) {
            state.log().note("duty_lost", event -> event.with("to", newest.holder().orElse("")));
          }
        });
    loop.scheduleWithFixedDelay(
        this::tick, TICK.toMillis(), TICK.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void tick() {
    Instant now = state.now();
    watchClock(now);
    List<WeightsRollout.Behind> behind =
        WeightsRollout.behind(
            state.runners().all(),
            state.newestWeights(),
            runner -> runner.running() + state.peers().running(runner.id(), now));
    // A leaving runner gets no orders, but what it runs may still read old parts.
    inUse.observe(state.runners().all(), now);
    sweep(now);
    if (behind.isEmpty() || state.isStopping()) {
      workSince = Instant.MAX;
      rollout.clear();
    } else {
      if (workSince.equals(Instant.MAX)) {
        workSince = now;
        patience = patience();
      }
      work(behind, now);
    }
    for (Runner runner : state.runners().all()) {
      runner.changing(rollout.changing().contains(runner.id()));
    }
  }

  /**
   * Frees parts of replaced weights in managed stores once no runner can read them any more. Only
   * the last holder of the lease does, so that a part is freed once, and only while it reaches the
   * log: cut off, it does not learn that another took the lease, nor of new runners.
   */
  private void sweep(Instant now) {
    boolean isMine = lease.lastHolder().filter(holder::equals).isPresent();
    boolean isDue = Duration.between(sweptAt, now).compareTo(SWEEP_INTERVAL) >= 0;
    if (!isMine || !isDue || !state.isLogInReach()) {
      return;
    }
    sweptAt = now;
    for (Service.Store store : state.managedStores()) {
      List<PartDirectory.Key> old = state.replacedParts(store.endpoint(), inUse, MAX_FREED);
      if (!old.isEmpty()) {
        state
            .log()
            .note(
                "parts_freed",
                event -> event.with("store", store.name()).with("parts", old.size()));
        orders.free(store.endpoint(), old, result -> freed(store, old, result));
      }
    }
  }

  private void freed(
      Service.Store store, List<PartDirectory.Key> parts, Either<String, Boolean> result) {
    if (result.isLeft()) {
      state
          .log()
          .note(
              "free_unanswered",
              event -> event.with("store", store.name()).with("error", result.getLeft()));
      return;
    }
    for (PartDirectory.Key key : parts) {
      state.parts().set(store.endpoint(), key.salt(), key.part(), 0);
    }
  }

  private Duration patience() {
    if (lease.lastHolder().filter(holder::equals).isPresent()) {
      return Duration.ZERO;
    }
    return Duration.ofMillis(ThreadLocalRandom.current().nextLong(50, LONGEST_PATIENCE.toMillis()));
  }

  /** A process that was suspended does not know how long: its lease may be over. */
  private void watchClock(Instant now) {
    long gap = clockGap(now);
    if (Math.abs(gap - clockGapNanos) > SUSPENSION_NANOS) {
      state
          .log()
          .note("clock_jumped", event -> event.with("by_ms", (gap - clockGapNanos) / 1_000_000));
      lease.drop();
    }
    clockGapNanos = gap;
  }

  private long clockGap(Instant now) {
    return wallMillis.getAsLong() * 1_000_000 - now.toEpochMilli() * 1_000_000;
  }

  private void work(List<WeightsRollout.Behind> behind, Instant now) {
    if (lease.held(now).isPresent()) {
      if (lease.isRenewalDue(now)) {
        append(now);
      }
      order(behind, now);
      return;
    }
    rollout.clear();
    boolean isActive = lease.lastHolder().filter(last -> isActive(last, now)).isPresent();
    boolean isPatient = Duration.between(workSince, now).compareTo(patience) >= 0;
    if (isPatient && lease.mayTake(isActive, now)) {
      append(now);
    }
  }

  private boolean isActive(String lastHolder, Instant now) {
    String name = lastHolder.substring(0, Math.max(0, lastHolder.lastIndexOf('/')));
    return !name.equals(node) && state.peers().isActive(name, now);
  }

  private void append(Instant now) {
    if (isAppending) {
      return;
    }
    isAppending = true;
    log.append(lease.end(), holder, result -> appended(now, result));
  }

  private void appended(Instant sentAt, Either<String, DutyLog.Outcome> result) {
    isAppending = false;
    if (result.isLeft()) {
      // The follower tells whether the record is in the log after all.
      state.log().note("duty_append_failed", event -> event.with("error", result.getLeft()));
      return;
    }
    switch (result.get()) {
      case DutyLog.Outcome.Appended appended -> {
        boolean isNew = lease.held(state.now()).isEmpty();
        lease.granted(appended.offset(), sentAt, state.now());
        if (isNew) {
          state.log().note("duty_taken", event -> event.with("token", appended.offset()));
        }
      }
      case DutyLog.Outcome.Overtaken overtaken -> lease.drop();
    }
  }

  private void order(List<WeightsRollout.Behind> behind, Instant now) {
    for (WeightsRollout.Behind entry : rollout.next(behind, now)) {
      lease.held(state.now()).ifPresent(held -> order(entry, held));
    }
    for (WeightsRollout.Behind entry : behind) {
      if (rollout.changing().contains(entry.runner().id())) {
        ask(entry.runner(), now);
      }
    }
  }

  private void order(WeightsRollout.Behind entry, DutyLease.Held held) {
    Runner runner = entry.runner();
    state
        .log()
        .note(
            "weights_ordered",
            event ->
                event
                    .with("runner", runner.id())
                    .with("model", entry.model())
                    .with("version", entry.version())
                    .with("before", runner.weightVersion(entry.model()))
                    .with("token", held.token()));
    askedAt.put(runner.id(), state.now());
    orders.changeWeights(
        runner.info(),
        entry.model(),
        entry.version(),
        node,
        held.token(),
        result -> ordered(entry, result));
  }

  private void ordered(WeightsRollout.Behind entry, Either<String, RunnerOrders.Outcome> result) {
    Runner runner = entry.runner();
    if (result.isLeft()) {
      state
          .log()
          .note(
              "order_unanswered",
              event -> event.with("runner", runner.id()).with("error", result.getLeft()));
      return;
    }
    switch (result.get()) {
      case HOLDS -> runner.runs(entry.model(), entry.version());
      case REJECTED -> rollout.refused(runner.id());
      case FENCED -> {
        state.log().note("duty_fenced", event -> event.with("runner", runner.id()));
        lease.drop();
        rollout.clear();
      }
      default -> {
        // The runner carries an order out; whether it was this one shows in its report.
      }
    }
  }

  private void ask(Runner runner, Instant now) {
    Instant last = askedAt.getOrDefault(runner.id(), Instant.MIN);
    if (Duration.between(last, now).compareTo(QUESTION_INTERVAL) < 0) {
      return;
    }
    askedAt.put(runner.id(), now);
    orders.weights(runner.info(), result -> result.peek(weights -> told(runner, weights)));
  }

  private void told(Runner runner, Map<String, Long> weights) {
    weights.forEach(
        (model, version) -> {
          if (version > runner.weightVersion(model)) {
            state
                .log()
                .note(
                    "weights_changed",
                    event -> event.with("runner", runner.id()).with("version", version));
          }
          runner.runs(model, version);
        });
  }
}
