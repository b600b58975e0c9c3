package org.dragonflyhill.standins.replay;

import java.util.Map;
import org.dragonflyhill.core.RefusalReason;

/**
 * Result of one replay. Times are in seconds, shares between 0 and 1.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param deployment name of the deployment
 * @param policy name of the policy
 * @param load offered load as a part of the capacity
 * @param fault what failed
 * @param requests measured requests
 * @param answered requests that got their whole answer, late ones included
 * @param urgentP50 first token of urgent work, median
 * @param urgentP95 first token of urgent work, 95th percentile
 * @param urgentP99 first token of urgent work, 99th percentile
 * @param allP50 first token of all work, median
 * @param allP95 first token of all work, 95th percentile
 * @param allP99 first token of all work, 99th percentile
 * @param lateP95 first token of all work from 30 s after the fault to the end of the peak
 * @param gapP95 time between tokens, 95th percentile
 * @param computedShare prompt tokens that were computed, of all prompt tokens
 * @param repeatedShare prompt tokens that were computed though seen before
 * @param linkUse time for which the stores' links were in use, during peaks
 * @param goodPerSecond answers whole within their deadline a second of peak
 * @param goodShare answers whole within their deadline, of all requests
 * @param ordinaryRefused ordinary requests that were refused, of all ordinary requests
 * @param refusals refused requests by reason
 * @param retryShare attempts beyond the first, of all requests
 * @param jain Jain's index over organisations
 * @param leastShare least part of its fair share that an organisation was served
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
   * What a replay was run with.
   *
   * @param deployment name of the deployment
   * @param policy name of the policy
   * @param load offered load as a part of the capacity
   * @param fault what failed
   */
  public record Scenario(String deployment, String policy, double load, String fault) {}
}
