package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.util.Optional;

/** A pool of runners or a store of KV cache. Immutable; no component is null. */
public sealed interface Service {

  /** Returns the name of the service. */
  String name();

  /**
   * A pool of runners that serve models, or of the endpoints of a plain service.
   *
   * @param name name of the service
   * @param maxConnections maximum number of connections that one runner accepts in total
   * @param engine inference engine of the runners, empty for a plain service
   * @param coldStart limits of cold runners, empty if runners are never cold
   */
  record Pool(
      String name, int maxConnections, Optional<Engine> engine, Optional<ColdStart> coldStart)
      implements Service {}

  /**
   * Limits of runners that have just started.
   *
   * @param time time after the start for which a runner is cold
   * @param requestsPerSecond requests per second that a cold runner tolerates from all nodes
   */
  record ColdStart(Duration time, double requestsPerSecond) {}

  /**
   * A store of KV cache.
   *
   * @param name name of the store
   * @param endpoint network address
   * @param zone availability zone
   * @param capacityTokens capacity, in tokens
   * @param linkBytesPerSecond bandwidth of the network link
   * @param isManaged whether the store evicts nothing on its own, so that nodes free its parts
   * @param maxEventCalls maximum number of concurrent event polls, from all nodes in total
   */
  record Store(
      String name,
      Endpoint endpoint,
      String zone,
      long capacityTokens,
      double linkBytesPerSecond,
      boolean isManaged,
      int maxEventCalls)
      implements Service {}

  /**
   * Inference engine of the runners of a pool.
   *
   * @param slots maximum number of concurrently running requests per runner
   * @param memoryTokens KV memory per runner, in tokens
   * @param bytesPerToken bytes of KV cache per token
   * @param linkBytesPerSecond bandwidth of the network link of a runner
   * @param maxEventCalls maximum number of concurrent event polls per runner, from all nodes in
   *     total
   */
  record Engine(
      int slots,
      long memoryTokens,
      long bytesPerToken,
      double linkBytesPerSecond,
      int maxEventCalls) {}
}
