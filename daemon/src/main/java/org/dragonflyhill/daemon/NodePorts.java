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
 * Connections of a node to the systems around it.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param log the log service
 * @param hostList the list of hosts
 * @param runners completions on runners
 * @param caches prefix caches of runners
 * @param orders orders to runners
 * @param stores stores of KV cache
 * @param services plain services
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

  /** Opens the connections that the settings name; the closer ends them. */
  static NodePorts open(DaemonSettings settings, Closer closer) {
    HttpCaller platform = closer.add(pooledCaller("platform"));
    HttpCaller endpoints = closer.add(pooledCaller("endpoints"));
    // A new connection for each call proves of a refused one that nothing was sent.
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
