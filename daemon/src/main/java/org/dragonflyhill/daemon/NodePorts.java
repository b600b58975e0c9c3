package org.dragonflyhill.daemon;

import java.time.Duration;
import org.dragonflyhill.platform.CachePort;
import org.dragonflyhill.platform.Closer;
import org.dragonflyhill.platform.HostListPort;
import org.dragonflyhill.platform.HttpCache;
import org.dragonflyhill.platform.HttpCaller;
import org.dragonflyhill.platform.HttpHostList;
import org.dragonflyhill.platform.HttpLog;
import org.dragonflyhill.platform.HttpOrder;
import org.dragonflyhill.platform.HttpRunner;
import org.dragonflyhill.platform.HttpService;
import org.dragonflyhill.platform.HttpStore;
import org.dragonflyhill.platform.LogPort;
import org.dragonflyhill.platform.OrderPort;
import org.dragonflyhill.platform.RunnerPort;
import org.dragonflyhill.platform.ServicePort;
import org.dragonflyhill.platform.StorePort;

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
    HttpCaller platform = closer.add(pool("platform"));
    HttpCaller endpoints = closer.add(pool("endpoints"));
    // A new connection for each call proves of a refused one that nothing was sent.
    HttpCaller services = closer.add(HttpCaller.withoutPool(CONNECT_TIMEOUT));
    Duration timeout = settings.platformTimeout();
    return new NodePorts(
        new HttpLog(platform, settings.logAddress(), timeout),
        new HttpHostList(platform, settings.hostListAddress(), timeout),
        new HttpRunner(endpoints, timeout),
        new HttpCache(endpoints, timeout),
        new HttpOrder(endpoints, timeout),
        new HttpStore(endpoints, timeout),
        new HttpService(services, SERVICE_TIMEOUT));
  }

  private static HttpCaller pool(String name) {
    return new HttpCaller(name, MAX_CONNECTIONS_PER_ENDPOINT, CONNECT_TIMEOUT);
  }
}
