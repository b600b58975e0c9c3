package org.dragonflyhill.standins.replay;

import java.util.List;

/**
 * The policies that a replay applies to requests.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param name name in tables and result files
 * @param routing chooses the runner
 * @param admission decides whether a request is refused
 * @param export decides which pieces are exported
 */
public record Policy(
    String name, RoutingPolicy routing, AdmissionPolicy admission, ExportPolicy export) {

  /** Returns the policies to compare: the baselines, the product and the offline bound. */
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

  /** Returns the policy of the product itself. */
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
