package org.dragonflyhill.daemon;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.dragonflyhill.core.ConfigurationObject;
import org.dragonflyhill.core.ConfigurationObject.AdministrativeState;
import org.dragonflyhill.core.EndpointHealth;
import org.dragonflyhill.platform.HostListPort;
import org.dragonflyhill.platform.RunnerPort;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Knows which endpoints may get new work and how loaded they said they were.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class EndpointController implements AutoCloseable {

  private static final Duration LOAD_INTERVAL = Duration.ofMillis(500);
  private static final int POLLS_AT_ONCE = 32;

  private final ConfigurationController configuration;
  private final MembershipController membership;
  private final RunnerPort runners;
  private final InstantSource clock;
  private final EndpointHealth health = new EndpointHealth();
  private final Map<String, RunnerPort.Load> loads = new HashMap<>();
  private final Map<String, Integer> inFlight = new HashMap<>();
  private Disposable polling = () -> {};

  /** Creates a controller that does not poll yet. */
  public EndpointController(
      ConfigurationController configuration,
      MembershipController membership,
      RunnerPort runners,
      InstantSource clock) {
    this.configuration = configuration;
    this.membership = membership;
    this.runners = runners;
    this.clock = clock;
  }

  /** Starts to poll the runners' load. */
  public synchronized void start() {
    polling =
        Flux.interval(Duration.ZERO, LOAD_INTERVAL)
            .onBackpressureDrop()
            .concatMap(tick -> pollAll(), 1)
            .subscribe();
  }

  /** Returns whether an endpoint may get new work. */
  public synchronized boolean isUsable(
      String name, AdministrativeState administrativeState, Instant now) {
    health.leaving(
        membership.hosts().stream()
            .filter(host -> host.state() == HostListPort.State.LEAVING)
            .map(HostListPort.Host::name)
            .collect(Collectors.toSet()));
    return administrativeState == AdministrativeState.ACTIVE && health.isUsable(name, now);
  }

  /** Returns the load that a runner last told. */
  public synchronized Optional<RunnerPort.Load> load(String runner) {
    return Optional.ofNullable(loads.get(runner));
  }

  /** Returns the number of requests that this node runs on an endpoint. */
  public synchronized int inFlight(String endpoint) {
    return inFlight.getOrDefault(endpoint, 0);
  }

  /** Notes that a request was sent to an endpoint. */
  public synchronized void began(String endpoint) {
    inFlight.merge(endpoint, 1, Integer::sum);
  }

  /** Notes that a request on an endpoint ended. */
  public synchronized void ended(String endpoint) {
    inFlight.merge(endpoint, -1, Integer::sum);
  }

  /** Notes an answer of an endpoint. */
  public synchronized void succeeded(String endpoint) {
    health.succeeded(endpoint);
  }

  /** Notes a failure of an endpoint. */
  public synchronized void failed(String endpoint, Instant now) {
    health.failed(endpoint, now);
  }

  @Override
  public synchronized void close() {
    polling.dispose();
  }

  private Mono<Void> pollAll() {
    return Flux.fromIterable(configuration.state().all(ConfigurationObject.Runner.class))
        .flatMap(this::poll, POLLS_AT_ONCE)
        .then();
  }

  private Mono<Void> poll(ConfigurationObject.Runner runner) {
    return runners
        .load(runner.address())
        .doOnNext(answer -> answer.peek(load -> note(runner.name(), load)))
        .then();
  }

  private synchronized void note(String runner, RunnerPort.Load load) {
    loads.put(runner, load);
    if (load.isLeaving()) {
      health.saidLeaving(runner, clock.instant());
    }
  }
}
