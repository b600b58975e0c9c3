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
 * One version of the operator's configuration: routes, services, organisations and limits.
 *
 * <p>Each request is handled with the same version from start to end, except for its {@linkplain
 * CacheSalt salt}. Immutable and thread-safe; no argument may be null.
 */
public final class RelayConfiguration {

  /** Number of route priorities that are distinguished within one organisation priority. */
  private static final int ROUTE_RANKS = 3;

  private final long version;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, Service> services = new HashMap<>();
  private final Map<String, Organisation> organisationsByKey = new HashMap<>();
  private final List<Service.Store> stores;
  private final boolean hasOrganisations;
  private final CacheSalt cacheSalt;
  private final CallerLimits limits;

  /**
   * Creates a configuration.
   *
   * @param version version number, which only increases
   * @param routes all routes
   * @param services all services
   * @param organisations all organisations; if empty, callers need no API key
   * @param limits limits on callers
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
    cacheSalt = new CacheSalt(organisations);
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

  /** Returns the version number. */
  public long version() {
    return version;
  }

  /** Returns the limits on callers. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns whether callers authenticate with API keys. */
  public boolean hasOrganisations() {
    return hasOrganisations;
  }

  /** Returns the salts under which parts of prompts are cached. */
  public CacheSalt cacheSalt() {
    return cacheSalt;
  }

  /** Returns the route of a host with the longest prefix that matches a path. */
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

  /** Returns the organisation to which an API key belongs. */
  public Optional<Organisation> organisation(String key) {
    return Optional.ofNullable(organisationsByKey.get(key));
  }

  /** Returns the runner pool of a service, empty if the service is unknown or a store. */
  public Optional<Service.Pool> pool(String service) {
    return services.get(service) instanceof Service.Pool pool
        ? Optional.of(pool)
        : Optional.empty();
  }

  /** Returns all stores of KV cache, ordered by name. */
  public List<Service.Store> stores() {
    return stores;
  }

  /**
   * Returns the scheduling rank of a request, 0 for the most urgent. Requests are ordered by the
   * priority of the organisation and then by the priority of the route, so that a short check does
   * not wait behind long prompts of organisations with the same priority. The route priority
   * replaces an organisation priority that is not set.
   */
  public static int rank(Route route, Optional<Organisation> organisation) {
    int organisationRank =
        organisation
            .map(Organisation::priority)
            .orElse(OptionalInt.empty())
            .orElse(route.priority());
    int routeRank = Math.min(route.priority(), ROUTE_RANKS - 1);
    return Math.min(organisationRank * ROUTE_RANKS + routeRank, Runner.RANKS - 1);
  }

  /**
   * Limits on callers.
   *
   * @param maxHeaderBytes maximum size of a request head
   * @param maxBodyBytes maximum size of a request body
   * @param headerTimeout maximum time for receiving a request head
   * @param idleTimeout maximum time that a connection stays open without a request
   */
  public record CallerLimits(
      int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Limits that apply until a configuration has been read. */
    public static final CallerLimits DEFAULT =
        new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
  }
}
