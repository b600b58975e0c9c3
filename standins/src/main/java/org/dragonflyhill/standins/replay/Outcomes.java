package org.dragonflyhill.standins.replay;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.dragonflyhill.core.RefusalReason;

/**
 * Gathers what became of the measured requests of one replay.
 *
 * <p>Not thread-safe; no argument may be null.
 */
final class Outcomes {

  private static final int DIGITS = 3;

  private final long measureFromMicros;
  private final long recoveredFromMicros;
  private final long recoveredToMicros;
  private final Histogram firstTokenUrgent = new Histogram(DIGITS);
  private final Histogram firstTokenAll = new Histogram(DIGITS);
  private final Histogram firstTokenRecovered = new Histogram(DIGITS);
  private final Histogram gaps = new Histogram(DIGITS);
  private final Map<RefusalReason, Integer> refusals = new EnumMap<>(RefusalReason.class);
  private final Map<String, Double> wanted = new HashMap<>();
  private final Map<String, Double> served = new HashMap<>();
  private int requests;
  private int ordinaryRequests;
  private int ordinaryRefusals;
  private int answered;
  private int good;
  private int retries;
  private long promptTokens;
  private long computedTokens;
  private long repeatedTokens;

  /**
   * Creates an empty collection.
   *
   * @param measureFromMicros earlier arrivals do not count
   * @param recoveredFromMicros start of the span in which a fault should be overcome
   * @param recoveredToMicros end of that span
   */
  Outcomes(long measureFromMicros, long recoveredFromMicros, long recoveredToMicros) {
    this.measureFromMicros = measureFromMicros;
    this.recoveredFromMicros = recoveredFromMicros;
    this.recoveredToMicros = recoveredToMicros;
  }

  private boolean isMeasured(TraceRequest request) {
    return request.arrivalMicros() >= measureFromMicros;
  }

  void arrived(TraceRequest request) {
    if (isMeasured(request)) {
      requests++;
      ordinaryRequests += request.urgent() ? 0 : 1;
      wanted.merge(request.organisation(), work(request), Double::sum);
    }
  }

  void retried(TraceRequest request) {
    retries += isMeasured(request) ? 1 : 0;
  }

  void refused(TraceRequest request, RefusalReason reason) {
    if (isMeasured(request)) {
      refusals.merge(reason, 1, Integer::sum);
      ordinaryRefusals += request.urgent() ? 0 : 1;
    }
  }

  void computed(TraceRequest request, long tokens, long unseenTokens) {
    if (isMeasured(request)) {
      promptTokens += request.promptTokens();
      computedTokens += tokens;
      repeatedTokens += Math.max(0, tokens - unseenTokens);
    }
  }

  void firstToken(TraceRequest request, long atMicros) {
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

  void finished(TraceRequest request, long gapMicros, long atMicros) {
    if (isMeasured(request)) {
      answered++;
      gaps.recordValueWithCount(gapMicros, request.outputTokens());
      if (atMicros <= request.deadlineMicros()) {
        good++;
        served.merge(request.organisation(), work(request), Double::sum);
      }
    }
  }

  /** Returns the row of the result table. */
  Row row(Row.Setting setting, double linkUse, double seconds) {
    return new Row(
        setting.deployment(),
        setting.policy(),
        setting.load(),
        setting.fault(),
        requests,
        answered,
        seconds(firstTokenUrgent, 50),
        seconds(firstTokenUrgent, 95),
        seconds(firstTokenUrgent, 99),
        seconds(firstTokenAll, 50),
        seconds(firstTokenAll, 95),
        seconds(firstTokenAll, 99),
        seconds(firstTokenRecovered, 95),
        seconds(gaps, 95),
        part(computedTokens, promptTokens),
        part(repeatedTokens, promptTokens),
        linkUse,
        good / seconds,
        part(good, requests),
        part(ordinaryRefusals, ordinaryRequests),
        refusals,
        part(retries, requests),
        FairShares.jain(wanted, served),
        FairShares.least(wanted, served));
  }

  private static double work(TraceRequest request) {
    return request.tailTokens() + request.outputTokens();
  }

  private static double seconds(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / 1e6;
  }

  private static double part(double amount, double of) {
    return of == 0 ? 0 : amount / of;
  }
}
