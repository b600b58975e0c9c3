package org.dragonflyhill.standins.replay;

import java.util.List;

/**
 * What decides about the requests of a replay.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param name name in tables
 * @param routing how a runner is chosen
 * @param admission when a request is refused
 * @param export which pieces are exported
 */
public record Policy(
    String name, RoutingPolicy routing, AdmissionPolicy admission, ExportPolicy export) {

  /** The policies that are compared, the rivals first and the bound last. */
  public static List<Policy> all(Deployment deployment) {
    return List.of(
        baseline("round_robin", new RoutingPolicy.RoundRobin()),
        baseline("least_loaded", new RoutingPolicy.LeastLoaded()),
        baseline("prefix_affinity", new RoutingPolicy.PrefixAffinity()),
        baseline("former", new RoutingPolicy.Former()),
        product(deployment),
        new Policy(
            "offline_bound",
            new RoutingPolicy.OfflineBound(),
            new AdmissionPolicy.EarlyRefusal(deployment.ordinaryWaitLimit()),
            new ExportPolicy.NoExport()));
  }

  /** Returns the product's policy. */
  public static Policy product(Deployment deployment) {
    return new Policy(
        "product",
        new RoutingPolicy.Product(),
        new AdmissionPolicy.EarlyRefusal(deployment.ordinaryWaitLimit()),
        new ExportPolicy.TwoCopies());
  }

  private static Policy baseline(String name, RoutingPolicy routing) {
    return new Policy(
        name, routing, new AdmissionPolicy.RunnerQueueOnly(), new ExportPolicy.NoExport());
  }
}
