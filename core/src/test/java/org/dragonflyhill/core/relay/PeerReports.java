package org.dragonflyhill.core.relay;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/** Reports of peers for tests. */
final class PeerReports {

  private PeerReports() {}

  /** Returns a report of a node without load. */
  static PeerReport of(String node, String zone, long incarnation, long sequence) {
    return report(node, zone, incarnation, sequence, Map.of(), Map.of(), Map.of());
  }

  /** Returns the first report of a node with load. */
  static PeerReport withLoads(String node, Map<String, PeerReport.Load> loads) {
    return withLoads(node, 1, loads);
  }

  /** Returns a report of a node with load. */
  static PeerReport withLoads(String node, long sequence, Map<String, PeerReport.Load> loads) {
    return report(node, "z1", 1, sequence, loads, Map.of(), Map.of());
  }

  /** Returns a report of a node with what it receives and what it knows of rate limits. */
  static PeerReport withRates(
      String node,
      long sequence,
      Map<String, Double> requestRates,
      Map<String, RateLimitReport> rateLimits) {
    return report(node, "z1", 1, sequence, Map.of(), requestRates, rateLimits);
  }

  private static PeerReport report(
      String node,
      String zone,
      long incarnation,
      long sequence,
      Map<String, PeerReport.Load> loads,
      Map<String, Double> requestRates,
      Map<String, RateLimitReport> rateLimits) {
    return new PeerReport(
        node,
        zone,
        incarnation,
        sequence,
        true,
        false,
        loads,
        Set.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        0,
        List.of(),
        OptionalLong.empty(),
        CrashReport.EMPTY,
        requestRates,
        rateLimits);
  }
}
