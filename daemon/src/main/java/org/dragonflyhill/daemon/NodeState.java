package org.dragonflyhill.daemon;

import java.time.InstantSource;
import java.util.Random;
import org.dragonflyhill.core.ClaimWindow;
import org.dragonflyhill.core.ConfigurationObject.Runner;
import org.dragonflyhill.ports.Closer;
import org.dragonflyhill.ports.HostListPort;

/**
 * The controllers that hold a node's state.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class NodeState {

  private static final String ORDER_RESOURCE = "orders";

  private final DaemonSettings settings;
  private final ConfigurationController configuration;
  private final ClaimController claims;
  private final MembershipController membership;
  private final PeerController peers;
  private final EndpointController endpoints;
  private final CacheController cache;
  private final StoreController stores;
  private final StoreSweepController sweeps;
  private final LinkController links;
  private final ExportController exports;
  private final LeaseController orderLease;
  private final OrderController orders;
  private final AdmissionController admission;

  /**
   * Creates the controllers, each after those that it depends on, without starting them.
   *
   * @param settings valid settings
   * @param ports clients for the external services and endpoints
   * @param metrics counters and gauges
   * @param clock gives the current time
   * @param closer closes the controllers
   */
  NodeState(
      DaemonSettings settings,
      NodePorts ports,
      NodeMetrics metrics,
      InstantSource clock,
      Closer closer) {
    this.settings = settings;
    configuration = closer.add(new ConfigurationController(ports.log(), metrics, clock));
    claims =
        closer.add(
            new ClaimController(
                ports.log(),
                settings.node(),
                ClaimWindow.DEFAULT,
                ClaimLimits.DEFAULT,
                settings.claimStepFault(),
                metrics,
                clock));
    membership = closer.add(new MembershipController(ports.hostList(), metrics));
    var outcomes = new ClaimOutcomes(claims, clock);
    peers =
        closer.add(
            new PeerController(
                settings, configuration, membership, outcomes, metrics, clock, new Random()));
    endpoints =
        closer.add(
            new EndpointController(
                () -> configuration.state().all(Runner.class),
                membership::hosts,
                ports.runners(),
                clock));
    cache = closer.add(new CacheController(configuration, ports.caches(), metrics));
    stores =
        closer.add(new StoreController(configuration, endpoints, ports.stores(), metrics, clock));
    sweeps =
        closer.add(
            new StoreSweepController(
                settings.node(),
                membership,
                stores,
                ports.stores(),
                metrics,
                clock,
                new StoreSweepController.Settings(settings.readLease(), settings.sweepInterval())));
    links = new LinkController();
    exports =
        closer.add(
            new ExportController(
                stores, sweeps, ports.caches(), ports.stores(), links, metrics, clock));
    var monotonicClock = new MonotonicClock();
    orderLease =
        closer.add(
            new LeaseController(
                ports.log(),
                membership,
                metrics,
                monotonicClock,
                ORDER_RESOURCE,
                settings.node(),
                OrderController.LEASE_DURATION));
    orders =
        closer.add(
            new OrderController(
                configuration, endpoints, orderLease, ports.orders(), metrics, monotonicClock));
    admission =
        closer.add(
            new AdmissionController(
                AdmissionFilter.LIMITS,
                (model, now) -> endpoints.slots(model, liveNodes(), now),
                metrics,
                clock));
  }

  /** Starts the controllers, which then read from the external services and endpoints. */
  void start() {
    configuration.start();
    claims.start();
    membership.start();
    peers.start();
    configuration.startSnapshots(settings.snapshotPolicy(), peers::rank);
    endpoints.start();
    admission.start();
    cache.start();
    stores.start();
    sweeps.start();
    exports.start();
    orderLease.start();
    orders.start();
  }

  /** Returns the number of live nodes, this one included. */
  int liveNodes() {
    return Math.max(1, membership.liveHosts(HostListPort.Role.NODE).size());
  }

  ConfigurationController configuration() {
    return configuration;
  }

  ClaimController claims() {
    return claims;
  }

  PeerController peers() {
    return peers;
  }

  EndpointController endpoints() {
    return endpoints;
  }

  CacheController cache() {
    return cache;
  }

  StoreController stores() {
    return stores;
  }

  LinkController links() {
    return links;
  }

  ExportController exports() {
    return exports;
  }

  AdmissionController admission() {
    return admission;
  }
}
