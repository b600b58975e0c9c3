package org.dragonflyhill.standins.replay;

import java.util.Map;
import org.dragonflyhill.core.RefusalReason;

/**
 * Result of one replay. Times are in seconds; shares are between 0 and 1.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param deployment name of the deployment
 * @param policy name of the policy
 * @param load offered load as a fraction of the capacity
 * @param fault label of the injected fault
 * @param requests number of measured requests
 * @param answered requests with a complete answer, also after the deadline
 * @param urgentP50 time to first token of urgent requests, median
 * @param urgentP95 time to first token of urgent requests, 95th percentile
 * @param urgentP99 time to first token of urgent requests, 99th percentile
 * @param allP50 time to first token of all requests, median
 * @param allP95 time to first token of all requests, 95th percentile
 * @param allP99 time to first token of all requests, 99th percentile
 * @param lateP95 time to first token of requests that arrive between 30 s after the fault and the
 *     end of the first peak, 95th percentile
 * @param gapP95 time between output tokens, 95th percentile
 * @param computedShare fraction of prompt tokens that were computed
 * @param repeatedShare fraction of prompt tokens that were computed again
 * @param linkUse utilisation of the stores' links since the start of the measurement, relative to
 *     the duration of the peaks
 * @param goodPerSecond answers completed within their deadline, per second of peak
 * @param goodShare fraction of requests answered completely within their deadline
 * @param ordinaryRefused fraction of ordinary requests that were refused
 * @param refusals number of refused requests by reason
 * @param retryShare retries per request
 * @param jain Jain's fairness index over organisations
 * @param leastShare smallest served part of a fair share among all organisations
 */
public record Row(
    String deployment,
    String policy,
    double load,
    String fault,
    int requests,
    int answered,
    double urgentP50,
    double urgentP95,
    double urgentP99,
    double allP50,
    double allP95,
    double allP99,
    double lateP95,
    double gapP95,
    double computedShare,
    double repeatedShare,
    double linkUse,
    double goodPerSecond,
    double goodShare,
    double ordinaryRefused,
    Map<RefusalReason, Integer> refusals,
    double retryShare,
    double jain,
    double leastShare) {

  /**
   * Parameters of a replay, which identify its row.
   *
   * @param deployment name of the deployment
   * @param policy name of the policy
   * @param load offered load as a fraction of the capacity
   * @param fault label of the injected fault
   */
  public record Scenario(String deployment, String policy, double load, String fault) {}
}
