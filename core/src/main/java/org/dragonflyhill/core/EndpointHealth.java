package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether an endpoint may get new requests.
 *
 * <p>An endpoint is unusable if any source says so: the host list, the endpoint's own report or its
 * recent failures. After {@value #EJECTION_THRESHOLD} consecutive failures an endpoint is ejected
 * for a limited time. It then recovers: it may run one request, and each success doubles the number
 * of requests that it may run concurrently, until {@value #RECOVERED_CONCURRENCY} are reached and
 * the limit is lifted. A failure during recovery ejects it again, for longer.
 *
 * <pre>{@code
 * health.recordFailure("runner-1", now);
 * boolean usable = health.isUsable("runner-1", inFlight, now);
 * }</pre>
 *
 * <p>Not thread-safe; callers must synchronize access. Arguments must not be null.
 */
public final class EndpointHealth {

  /** Number of consecutive failures after which an endpoint is ejected. */
  public static final int EJECTION_THRESHOLD = 3;

  /** Duration of the first ejection; it doubles with each further ejection, up to a limit. */
  public static final Duration BASE_EJECTION_TIME = Duration.ofSeconds(2);

  /**
   * Time for which an endpoint's own report that it is leaving stays in force. It is long because
   * endpoints often report this only by refusing a request, so asking again means sending new work.
   */
  public static final Duration LEAVING_REPORT_TTL = Duration.ofSeconds(30);

  /** Limit of concurrent requests at which a recovering endpoint counts as recovered. */
  public static final int RECOVERED_CONCURRENCY = 16;

  private static final int MAX_DOUBLINGS = 5;

  private final Map<String, FailureRecord> failureRecords = new HashMap<>();
  private final Map<String, Instant> reportedLeavingUntil = new HashMap<>();
  private Set<String> leavingInHostList = Set.of();

  /** Replaces the set of endpoints that the host list marks as leaving. */
  public void setLeaving(Set<String> names) {
    leavingInHostList = Set.copyOf(names);
  }

  /** Records that the endpoint itself reported that it is leaving. */
  public void recordLeavingReport(String endpoint, Instant now) {
    reportedLeavingUntil.put(endpoint, now.plus(LEAVING_REPORT_TTL));
  }

  /** Records a successful response of an endpoint. */
  public void recordSuccess(String endpoint) {
    FailureRecord before = failureRecords.get(endpoint);
    if (before == null) {
      return;
    }
    int doubledLimit = before.maxInFlight() * 2;
    if (before.ejections() == 0 || doubledLimit >= RECOVERED_CONCURRENCY) {
      failureRecords.remove(endpoint);
    } else {
      failureRecords.put(
          endpoint, new FailureRecord(0, before.ejections(), before.ejectedUntil(), doubledLimit));
    }
  }

  /** Records a failed request to an endpoint. */
  public void recordFailure(String endpoint, Instant now) {
    FailureRecord before = failureRecords.getOrDefault(endpoint, FailureRecord.NONE);
    int failures = before.failures() + 1;
    boolean isRecovering = before.ejections() > 0;
    if (failures < EJECTION_THRESHOLD && !isRecovering) {
      failureRecords.put(
          endpoint, new FailureRecord(failures, 0, before.ejectedUntil(), before.maxInFlight()));
      return;
    }
    if (now.isBefore(before.ejectedUntil())) {
      // Requests that were sent before the ejection may still fail; they are not a new failure.
      return;
    }
    int doublings = Math.min(before.ejections(), MAX_DOUBLINGS);
    Instant until = now.plus(BASE_EJECTION_TIME.multipliedBy(1L << doublings));
    failureRecords.put(endpoint, new FailureRecord(0, before.ejections() + 1, until, 1));
  }

  /**
   * Returns whether the endpoint may get a new request.
   *
   * @param endpoint name of the endpoint
   * @param inFlight number of requests that are running on the endpoint
   * @param now the current time
   */
  public boolean isUsable(String endpoint, int inFlight, Instant now) {
    if (leavingInHostList.contains(endpoint)) {
      return false;
    }
    if (now.isBefore(reportedLeavingUntil.getOrDefault(endpoint, Instant.MIN))) {
      return false;
    }
    FailureRecord failureRecord = failureRecords.get(endpoint);
    if (failureRecord == null || failureRecord.ejections() == 0) {
      return true;
    }
    return !now.isBefore(failureRecord.ejectedUntil()) && inFlight < failureRecord.maxInFlight();
  }

  /**
   * Failures and ejections of an endpoint.
   *
   * @param failures failures since the last success or ejection
   * @param ejections ejections since the endpoint last counted as recovered
   * @param ejectedUntil end of the latest ejection
   * @param maxInFlight number of requests that the endpoint may run concurrently while it recovers
   */
  private record FailureRecord(int failures, int ejections, Instant ejectedUntil, int maxInFlight) {
    static final FailureRecord NONE = new FailureRecord(0, 0, Instant.MIN, 1);
  }
}
