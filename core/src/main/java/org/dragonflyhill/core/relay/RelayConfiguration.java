package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * One version of what the operator wants: routes, services, organisations and limits.
 *
 * <p>A request is handled by one version from its begin to its end. Immutable and thread-safe; no
 * argument may be null.
 */
public final class RelayConfiguration {

  /** Priorities of routes that are told apart within one priority of an organisation. */
  private static final int ROUTE_RANKS = 3;

  private final long version;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, Service> services = new HashMap<>();
  private final Map<String, Organisation> organisationsByKey = new HashMap<>();
  private final List<Service.Store> stores;
  private final boolean hasOrganisations;
  private final CallerLimits limits;

  /**
   * Creates a version.
   *
   * @param version its number, which only grows
   * @param routes all routes
   * @param services all services
   * @param organisations all organisations; if there are none, callers need no key
   * @param limits bounds on what callers send
   */
  public RelayConfiguration(
      long version,
      Collection<Route> routes,
      Collection<Service> services,
      Collection<Organisation> organisations,
      CallerLimits limits) {
    this.version = version;
    this.limits = limits;
    this.hasOrganisations = !organisations.isEmpty();
    for (Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    Comparator<Route> byLength = Comparator.comparingInt(route -> route.pathPrefix().length());
    routesByHost.values().forEach(list -> list.sort(byLength.reversed()));
    services.forEach(service -> this.services.put(service.name(), service));
    stores =
        this.services.values().stream()
            .filter(Service.Store.class::isInstance)
            .map(Service.Store.class::cast)
            .sorted(Comparator.comparing(Service.Store::name))
            .toList();
    for (Organisation organisation : organisations) {
      organisation.keys().forEach(key -> organisationsByKey.put(key, organisation));
    }
  }

  /** Returns the number of this version. */
  public long version() {
    return version;
  }

  /** Returns the bounds on what callers send. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns whether callers present keys. */
  public boolean hasOrganisations() {
    return hasOrganisations;
  }

  /** Finds the route with the longest prefix of a path. */
  public Optional<Route> route(String host, String path) {
    for (Route route : routesByHost.getOrDefault(host, List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns all routes. */
  public List<Route> routes() {
    return routesByHost.values().stream().flatMap(List::stream).toList();
  }

  /** Finds the organisation that holds a key. */
  public Optional<Organisation> organisation(String key) {
    return Optional.ofNullable(organisationsByKey.get(key));
  }

  /** Finds the pool of runners of a service. */
  public Optional<Service.Pool> pool(String service) {
    return services.get(service) instanceof Service.Pool pool
        ? Optional.of(pool)
        : Optional.empty();
  }

  /** Returns all stores of kept cache, in the order of their names. */
  public List<Service.Store> stores() {
    return stores;
  }

  /**
   * Returns the rank of a request, 0 for the most urgent. The organisation's priority goes first;
   * among requests of equal organisations the route's decides, so that a short check does not wait
   * behind long prompts.
   */
  public static int rank(Route route, Optional<Organisation> organisation) {
    int first =
        organisation
            .map(Organisation::priority)
            .orElse(OptionalInt.empty())
            .orElse(route.priority());
    int second = Math.min(route.priority(), ROUTE_RANKS - 1);
    return Math.min(first * ROUTE_RANKS + second, Runner.RANKS - 1);
  }

  /**
   * Bounds on what callers send.
   *
   * @param maxHeaderBytes most bytes of a request's head
   * @param maxBodyBytes most bytes of a request's body
   * @param headerTimeout longest time in which a head comes in
   * @param idleTimeout longest time that a connection stays open without a request
   */
  public record CallerLimits(
      int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Bounds until a configuration is known. */
    public static final CallerLimits DEFAULT =
        new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
  }
}
