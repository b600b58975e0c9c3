package org.dragonflyhill.daemon;

import java.time.Duration;
import org.dragonflyhill.ports.CachePort;
import org.dragonflyhill.ports.Closer;
import org.dragonflyhill.ports.HostListPort;
import org.dragonflyhill.ports.HttpCacheClient;
import org.dragonflyhill.ports.HttpCaller;
import org.dragonflyhill.ports.HttpHostListClient;
import org.dragonflyhill.ports.HttpLogClient;
import org.dragonflyhill.ports.HttpOrderClient;
import org.dragonflyhill.ports.HttpRunnerClient;
import org.dragonflyhill.ports.HttpServiceClient;
import org.dragonflyhill.ports.HttpStoreClient;
import org.dragonflyhill.ports.LogPort;
import org.dragonflyhill.ports.OrderPort;
import org.dragonflyhill.ports.RunnerPort;
import org.dragonflyhill.ports.ServicePort;
import org.dragonflyhill.ports.StorePort;

/**
 * Clients for the external services and endpoints that a node calls.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param log client of the log service
 * @param hostList client of the host list
 * @param runners client for completions on runners
 * @param caches client for the prefix caches of runners
 * @param orders client for orders to runners to load weights
 * @param stores client of the stores of KV cache
 * @param services client of the plain services
 */
record NodePorts(
    LogPort log,
    HostListPort hostList,
    RunnerPort runners,
    CachePort caches,
    OrderPort orders,
    StorePort stores,
    ServicePort services) {

  private static final int MAX_CONNECTIONS_PER_ENDPOINT = 500;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration SERVICE_TIMEOUT = Duration.ofSeconds(30);

  /** Creates the clients for the addresses in the settings; the closer closes them. */
  static NodePorts open(DaemonSettings settings, Closer closer) {
    HttpCaller platform = closer.add(pooledCaller("platform"));
    HttpCaller endpoints = closer.add(pooledCaller("endpoints"));
    // Each call opens its own connection: if that is refused, the call has certainly not been sent.
    HttpCaller services = closer.add(HttpCaller.withoutPool(CONNECT_TIMEOUT));
    Duration timeout = settings.platformTimeout();
    return new NodePorts(
        new HttpLogClient(platform, settings.logAddress(), timeout),
        new HttpHostListClient(platform, settings.hostListAddress(), timeout),
        new HttpRunnerClient(endpoints, timeout),
        new HttpCacheClient(endpoints, timeout),
        new HttpOrderClient(endpoints, timeout),
        new HttpStoreClient(endpoints, timeout),
        new HttpServiceClient(services, SERVICE_TIMEOUT));
  }

  private static HttpCaller pooledCaller(String name) {
    return new HttpCaller(name, MAX_CONNECTIONS_PER_ENDPOINT, CONNECT_TIMEOUT);
  }
}
