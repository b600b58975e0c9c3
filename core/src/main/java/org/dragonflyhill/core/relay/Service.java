package org.dragonflyhill.core.relay;

import java.util.Optional;

/** Something that requests are sent to or cache is kept in. Immutable; nothing is null. */
public sealed interface Service {

  /** Returns the name. */
  String name();

  /**
   * Runners of a model, or of a plain service.
   *
   * @param name name of the service
   * @param maxConnections most connections that one runner takes from all callers together
   * @param engine what is known of the engine, empty for a plain service
   */
  record Pool(String name, int maxConnections, Optional<Engine> engine) implements Service {}

  /**
   * A store of kept KV cache.
   *
   * @param name name of the store
   * @param endpoint where it is
   * @param zone its availability zone
   * @param capacityTokens room, in tokens
   * @param linkBytesPerSecond bandwidth of its link
   * @param isManaged whether it drops nothing on its own
   * @param maxEventCalls calls for events that it holds at once, from all nodes together
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
   * Engine of a pool's runners.
   *
   * @param slots requests that run at once
   * @param memoryTokens KV memory of a runner, in tokens
   * @param bytesPerToken bytes of KV cache for one token
   * @param linkBytesPerSecond bandwidth of a runner's link
   * @param maxEventCalls calls for events that a runner holds at once, from all nodes together
   */
  record Engine(
      int slots,
      long memoryTokens,
      long bytesPerToken,
      double linkBytesPerSecond,
      int maxEventCalls) {}
}
