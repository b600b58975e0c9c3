package org.dragonflyhill.standins.replay;

/** How a runner is chosen; {@link Router} decides by it. Variants are stateless. */
public sealed interface RoutingPolicy {
  /** Each runner in turn. */
  record RoundRobin() implements RoutingPolicy {}

  /** The runner with the fewest tokens queued. */
  record LeastLoaded() implements RoutingPolicy {}

  /** The runner that holds the longest prefix, whatever its load. */
  record PrefixAffinity() implements RoutingPolicy {}

  /** The product's placement as it was first built, without imports. */
  record Former() implements RoutingPolicy {}

  /** The product's placement. */
  record Product() implements RoutingPolicy {}

  /** Perfect knowledge of load; whatever was computed once is at hand everywhere. */
  record OfflineBound() implements RoutingPolicy {}
}
