package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether an endpoint may get new work, from the host list and what was observed.
 *
 * <p>The most pessimistic sign wins. An endpoint that keeps failing is ejected; afterwards it gets
 * one request, and with each success twice as many at once, until it is trusted again.
 *
 * <pre>{@code
 * health.failed("runner-1", now);
 * boolean usable = health.isUsable("runner-1", inFlight, now);
 * }</pre>
 *
 * <p>Not thread-safe; its owner guards it. No argument may be null.
 */
public final class EndpointHealth {

  /** Consecutive failures after which an endpoint is ejected. */
  public static final int EJECTION_THRESHOLD = 3;

  /** Time for which an endpoint is ejected at first; it doubles with each further ejection. */
  public static final Duration BASE_EJECTION_TIME = Duration.ofSeconds(2);

  /**
   * Time for which an endpoint's own word that it leaves holds. It is long, since such a word often
   * comes only as a refusal, and each further try would be new work.
   */
  public static final Duration LEAVING_REPORT_TTL = Duration.ofSeconds(30);

  /** Requests at once from which an endpoint under readmission is trusted again. */
  public static final int RECOVERED_CONCURRENCY = 16;

  private static final int MAX_DOUBLINGS = 5;

  private final Map<String, FailureRecord> failureRecords = new HashMap<>();
  private final Map<String, Instant> reportedLeavingUntil = new HashMap<>();
  private Set<String> leavingInHostList = Set.of();

  /** Replaces the names of the endpoints that the host list calls leaving. */
  public void setLeaving(Set<String> names) {
    leavingInHostList = Set.copyOf(names);
  }

  /** Notes that the endpoint itself said that it is leaving. */
  public void recordLeavingReport(String endpoint, Instant now) {
    reportedLeavingUntil.put(endpoint, now.plus(LEAVING_REPORT_TTL));
  }

  /** Notes an answer. */
  public void recordSuccess(String endpoint) {
    FailureRecord before = failureRecords.get(endpoint);
    if (before == null) {
      return;
    }
    int doubledLimit = before.allowed() * 2;
    if (before.ejections() == 0 || doubledLimit >= RECOVERED_CONCURRENCY) {
      failureRecords.remove(endpoint);
    } else {
      failureRecords.put(
          endpoint, new FailureRecord(0, before.ejections(), before.until(), doubledLimit));
    }
  }

  /** Notes a failure to answer. */
  public void recordFailure(String endpoint, Instant now) {
    FailureRecord before = failureRecords.getOrDefault(endpoint, FailureRecord.NONE);
    int failures = before.failures() + 1;
    boolean isRecovering = before.ejections() > 0;
    if (failures < EJECTION_THRESHOLD && !isRecovering) {
      failureRecords.put(
          endpoint, new FailureRecord(failures, 0, before.until(), before.allowed()));
      return;
    }
    if (now.isBefore(before.until())) {
      // Work from before the ejection ends late; it says nothing new.
      return;
    }
    int doublings = Math.min(before.ejections(), MAX_DOUBLINGS);
    Instant until = now.plus(BASE_EJECTION_TIME.multipliedBy(1L << doublings));
    failureRecords.put(endpoint, new FailureRecord(0, before.ejections() + 1, until, 1));
  }

  /**
   * Returns whether the endpoint may get new work.
   *
   * @param endpoint name of the endpoint
   * @param inFlight requests that run there
   * @param now present time
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
    return !now.isBefore(failureRecord.until()) && inFlight < failureRecord.allowed();
  }

  /**
   * What was seen of an endpoint.
   *
   * @param failures failures since the last success
   * @param ejections ejections since it was last trusted
   * @param until end of its ejection
   * @param allowed requests that it may run at once after the ejection
   */
  private record FailureRecord(int failures, int ejections, Instant until, int allowed) {
    static final FailureRecord NONE = new FailureRecord(0, 0, Instant.MIN, 1);
  }
}
