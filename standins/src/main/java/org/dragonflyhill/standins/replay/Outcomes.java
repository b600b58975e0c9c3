package org.dragonflyhill.standins.replay;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.dragonflyhill.core.RefusalReason;

/**
 * Collects the outcomes of the measured requests of one replay.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class Outcomes {

  private static final int SIGNIFICANT_DIGITS = 3;

  private final long measureFromMicros;
  private final long recoveredFromMicros;
  private final long recoveredToMicros;
  private final Histogram firstTokenUrgent = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram firstTokenAll = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram firstTokenRecovered = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram gaps = new Histogram(SIGNIFICANT_DIGITS);
  private final Map<RefusalReason, Integer> refusals = new EnumMap<>(RefusalReason.class);
  private final Map<String, Double> requestedWork = new HashMap<>();
  private final Map<String, Double> servedWork = new HashMap<>();
  private int requests;
  private int ordinaryRequests;
  private int ordinaryRefusals;
  private int answered;
  private int withinDeadline;
  private int retries;
  private long promptTokens;
  private long computedTokens;
  private long repeatedTokens;

  /**
   * Creates an empty collection.
   *
   * @param measureFromMicros requests that arrive earlier are not measured
   * @param recoveredFromMicros start of the period in which the system should have recovered from
   *     the fault
   * @param recoveredToMicros end of that period
   */
  Outcomes(long measureFromMicros, long recoveredFromMicros, long recoveredToMicros) {
    this.measureFromMicros = measureFromMicros;
    this.recoveredFromMicros = recoveredFromMicros;
    this.recoveredToMicros = recoveredToMicros;
  }

  private boolean isMeasured(TraceRequest request) {
    return request.arrivalMicros() >= measureFromMicros;
  }

  void recordArrival(TraceRequest request) {
    if (isMeasured(request)) {
      requests++;
      ordinaryRequests += request.urgent() ? 0 : 1;
      requestedWork.merge(request.organisation(), workTokens(request), Double::sum);
    }
  }

  void recordRetry(TraceRequest request) {
    retries += isMeasured(request) ? 1 : 0;
  }

  void recordRefusal(TraceRequest request, RefusalReason reason) {
    if (isMeasured(request)) {
      refusals.merge(reason, 1, Integer::sum);
      ordinaryRefusals += request.urgent() ? 0 : 1;
    }
  }

  void recordPrefill(TraceRequest request, long tokens, long unseenTokens) {
    if (isMeasured(request)) {
      promptTokens += request.promptTokens();
      computedTokens += tokens;
      repeatedTokens += Math.max(0, tokens - unseenTokens);
    }
  }

  void recordFirstToken(TraceRequest request, long atMicros) {
    if (!isMeasured(request)) {
      return;
    }
    long time = atMicros - request.arrivalMicros();
    firstTokenAll.recordValue(time);
    if (request.urgent()) {
      firstTokenUrgent.recordValue(time);
    }
    if (request.arrivalMicros() >= recoveredFromMicros
        && request.arrivalMicros() < recoveredToMicros) {
      firstTokenRecovered.recordValue(time);
    }
  }

  void recordFinished(TraceRequest request, long gapMicros, long atMicros) {
    if (isMeasured(request)) {
      answered++;
      gaps.recordValueWithCount(gapMicros, request.outputTokens());
      if (atMicros <= request.deadlineMicros()) {
        withinDeadline++;
        servedWork.merge(request.organisation(), workTokens(request), Double::sum);
      }
    }
  }

  /** Returns the row of the result table. */
  Row row(Row.Scenario scenario, double linkUse, double seconds) {
    return new Row(
        scenario.deployment(),
        scenario.policy(),
        scenario.load(),
        scenario.fault(),
        requests,
        answered,
        percentileSeconds(firstTokenUrgent, 50),
        percentileSeconds(firstTokenUrgent, 95),
        percentileSeconds(firstTokenUrgent, 99),
        percentileSeconds(firstTokenAll, 50),
        percentileSeconds(firstTokenAll, 95),
        percentileSeconds(firstTokenAll, 99),
        percentileSeconds(firstTokenRecovered, 95),
        percentileSeconds(gaps, 95),
        ratio(computedTokens, promptTokens),
        ratio(repeatedTokens, promptTokens),
        linkUse,
        withinDeadline / seconds,
        ratio(withinDeadline, requests),
        ratio(ordinaryRefusals, ordinaryRequests),
        refusals,
        ratio(retries, requests),
        FairShares.jainIndex(requestedWork, servedWork),
        FairShares.minServedRatio(requestedWork, servedWork));
  }

  private static double workTokens(TraceRequest request) {
    return request.tailTokens() + request.outputTokens();
  }

  private static double percentileSeconds(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / 1e6;
  }

  private static double ratio(double amount, double total) {
    return total == 0 ? 0 : amount / total;
  }
}
