package org.dragonflyhill.standins.replay;

/** Strategy by which {@link Router} chooses a runner. Implementations are stateless. */
public sealed interface RoutingPolicy {
  /** Takes the runners in turn. */
  record RoundRobin() implements RoutingPolicy {}

  /** Takes the runner with the fewest queued tokens. */
  record LeastLoaded() implements RoutingPolicy {}

  /** Takes the runner that caches the longest prefix of the prompt, regardless of load. */
  record PrefixAffinity() implements RoutingPolicy {}

  /** Uses {@link FormerPlacement}, without imports. */
  record Former() implements RoutingPolicy {}

  /** Uses the product's {@link org.dragonflyhill.core.Placement}. */
  record Product() implements RoutingPolicy {}

  /** Knows the exact load; a piece that was computed once counts as cached by every runner. */
  record OfflineBound() implements RoutingPolicy {}
}
