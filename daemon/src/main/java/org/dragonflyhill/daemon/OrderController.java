package org.dragonflyhill.daemon;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.core.ConfigurationObject.Model;
import org.dragonflyhill.core.ConfigurationObject.Runner;
import org.dragonflyhill.core.LeaseKeeper;
import org.dragonflyhill.core.ObjectKind;
import org.dragonflyhill.core.OrderPlanner;
import org.dragonflyhill.core.OrderPlanner.Weights;
import org.dragonflyhill.ports.LogEvent;
import org.dragonflyhill.ports.OrderPort;
import org.dragonflyhill.ports.PlatformError;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Orders the runners to load the weights given in the configuration, while this node holds the
 * lease.
 *
 * <p>Orders are declarative: each one names the target weights of a runner. If the answer to an
 * order is lost, the controller reads the state of the runner and repeats the order if necessary.
 * Thread-safe; no argument may be null.
 */
public final class OrderController implements AutoCloseable {

  /** Duration of the lease that a node needs to send orders. */
  public static final Duration LEASE_DURATION = Duration.ofSeconds(6);

  /** Time after which a runner must ignore a delayed order. */
  public static final Duration ORDER_DEADLINE = Duration.ofSeconds(2);

  private static final Logger LOGGER = LogManager.getLogger(OrderController.class);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(250);
  private static final int MAX_CONCURRENT_CALLS = 32;

  /** Spare slots to keep available while weights load, as a fraction of the slots in use. */
  private static final double SPARE_SLOT_RATIO = 0.25;

  private final ConfigurationController configuration;
  private final EndpointController endpoints;
  private final LeaseController lease;
  private final OrderPort orders;
  private final NodeMetrics metrics;
  private final InstantSource monotonicClock;
  private final Map<String, OrderPort.State> states = new HashMap<>();
  private Optional<LeaseTerm> leaseTerm = Optional.empty();
  private Polling polling = Polling.NONE;

  /** Creates a controller that sends no orders until {@link #start} is called. */
  public OrderController(
      ConfigurationController configuration,
      EndpointController endpoints,
      LeaseController lease,
      OrderPort orders,
      NodeMetrics metrics,
      InstantSource monotonicClock) {
    this.configuration = configuration;
    this.endpoints = endpoints;
    this.lease = lease;
    this.orders = orders;
    this.metrics = metrics;
    this.monotonicClock = monotonicClock;
  }

  /** Starts sending orders whenever this node holds the lease. */
  public synchronized void start() {
    polling = Polling.every(POLL_INTERVAL, "orders", this::reconcile);
  }

  @Override
  public synchronized void close() {
    polling.close();
  }

  private Mono<Void> reconcile() {
    Instant now = monotonicClock.instant();
    Optional<LeaseKeeper.HeldLease> held = lease.heldLease(now);
    if (held.isEmpty()) {
      endLeaseTerm();
      return Mono.empty();
    }
    beginLeaseTerm(held.get(), now);
    List<Runner> runners = configuration.state().all(Runner.class);
    return Flux.fromIterable(runners)
        .flatMap(this::readState, MAX_CONCURRENT_CALLS)
        .then(Mono.defer(() -> sendOrders(runners)));
  }

  private synchronized void endLeaseTerm() {
    leaseTerm = Optional.empty();
    states.clear();
  }

  private synchronized void beginLeaseTerm(LeaseKeeper.HeldLease held, Instant now) {
    if (leaseTerm.filter(known -> known.fencingToken() == held.fencingToken()).isEmpty()) {
      leaseTerm = Optional.of(new LeaseTerm(held.fencingToken(), now));
      LogEvent.of("orders_taken_over").with("token", held.fencingToken()).info(LOGGER);
    }
  }

  private Mono<Void> readState(Runner runner) {
    return orders
        .state(runner.address())
        .doOnNext(answer -> updateState(runner.name(), answer))
        .then();
  }

  private synchronized void updateState(
      String runner, Either<PlatformError, OrderPort.State> answer) {
    answer.peek(state -> states.put(runner, state)).peekLeft(error -> states.remove(runner));
  }

  private Mono<Void> sendOrders(List<Runner> runners) {
    List<OrderPlanner.RunnerState> runnerStates = new ArrayList<>();
    runners.forEach(runner -> plannerState(runner).ifPresent(runnerStates::add));
    int usedSlots = runnerStates.stream().mapToInt(OrderPlanner.RunnerState::usedSlots).sum();
    int neededSlots = (int) Math.ceil(usedSlots * (1 + SPARE_SLOT_RATIO));
    return Flux.fromIterable(OrderPlanner.plan(runnerStates, neededSlots))
        .concatMap(this::sendOrder)
        .then();
  }

  private synchronized Optional<OrderPlanner.RunnerState> plannerState(Runner runner) {
    Optional<OrderPort.State> state = Optional.ofNullable(states.get(runner.name()));
    return configuration
        .find(ObjectKind.MODEL, runner.model(), Model.class)
        .map(
            model ->
                new OrderPlanner.RunnerState(
                    runner.name(),
                    new Weights(model.name(), model.weightVersion()),
                    state.map(OrderPort.State::weights).orElse(Weights.NONE),
                    state.map(OrderPort.State::isLoading).orElse(false),
                    state.isPresent(),
                    runner.slots(),
                    endpoints.load(runner.name()).map(load -> load.running()).orElse(0)));
  }

  private Mono<Void> sendOrder(OrderPlanner.Order order) {
    Optional<Runner> runner = configuration.find(ObjectKind.RUNNER, order.runner(), Runner.class);
    // Checks the lease again before each order, because it may have expired while the states of the
    // runners were read.
    Instant now = monotonicClock.instant();
    Optional<LeaseKeeper.HeldLease> held = lease.heldLease(now);
    if (runner.isEmpty() || held.isEmpty() || !isOrderAllowed(runner.get(), held.get(), now)) {
      metrics.count("orders.held_back");
      return Mono.empty();
    }
    metrics.count("orders.given");
    var loadOrder =
        new OrderPort.LoadOrder(
            order.weights(), held.get().fencingToken(), ORDER_DEADLINE.toMillis());
    return orders
        .order(runner.get().address(), loadOrder)
        .doOnNext(answer -> recordOrderResult(order, answer))
        .then();
  }

  /**
   * Returns whether an order may be sent now. Its deadline must not be after the end of the lease.
   * A runner that does not check fencing tokens gets no orders until those of the previous lease
   * holder have passed their deadline.
   */
  private synchronized boolean isOrderAllowed(
      Runner runner, LeaseKeeper.HeldLease held, Instant now) {
    if (now.plus(ORDER_DEADLINE).isAfter(held.expiresAt())) {
      return false;
    }
    if (runner.checksFencing()) {
      return true;
    }
    return leaseTerm.map(known -> !now.isBefore(known.since().plus(ORDER_DEADLINE))).orElse(false);
  }

  private void recordOrderResult(
      OrderPlanner.Order order, Either<PlatformError, OrderPort.State> answer) {
    answer.peekLeft(error -> metrics.count("orders.failed"));
    LogEvent.of("order_given")
        .with("runner", order.runner())
        .with("model", order.weights().model())
        .with("weight_version", order.weights().weightVersion())
        .with("answered", answer.isRight())
        .info(LOGGER);
  }

  private record LeaseTerm(long fencingToken, Instant since) {}
}
