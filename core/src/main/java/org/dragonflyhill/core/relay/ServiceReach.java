package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides whether this node is cut off from the runners of a service, by the new connections to
 * them that succeed and fail. Data on connections that are open already does not count: they may
 * live on while new ones fail.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class ServiceReach {

  /** Number of runners that failed in a row from which all runners are suspected. */
  private static final int SUSPICIOUS_FAILURES = 2;

  /** Number of runners that failed in a row from which the node counts as cut off from all. */
  private static final int MAX_FAILURES_NEEDED = 6;

  /** Time for which a failed connection counts; runners that failed are tried again earlier. */
  private static final Duration FAILURE_MEMORY = Duration.ofSeconds(6);

  /** When a connection to each runner last failed, since one to any of them succeeded. */
  private final Map<String, Instant> failedAt = new HashMap<>();

  private boolean isCutOff;

  /**
   * Records a new connection to a runner, which ends all doubts; returns whether any was cut off.
   */
  public boolean recordConnected() {
    boolean wasCutOff = isCutOff;
    failedAt.clear();
    isCutOff = false;
    return wasCutOff;
  }

  /**
   * Records a failed connection to a runner.
   *
   * @param runner id of the runner
   * @param available ids of the runners of the service that accept requests
   * @param now present time
   * @return whether the node counts as cut off from now on
   */
  public boolean recordFailed(String runner, Collection<String> available, Instant now) {
    failedAt.put(runner, now);
    forgetOld(now);
    boolean wasCutOff = isCutOff;
    long failed = available.stream().filter(failedAt::containsKey).count();
    isCutOff |= failed > 0 && failed >= Math.min(available.size(), MAX_FAILURES_NEEDED);
    return isCutOff && !wasCutOff;
  }

  /** Returns whether the node counts as cut off from all runners of the service. */
  public boolean isCutOff() {
    return isCutOff;
  }

  /**
   * Returns the runners to connect to in order to tell whether all are out of reach, or still are;
   * none without a suspicion.
   */
  public List<String> toVerify(Collection<String> available, Instant now) {
    forgetOld(now);
    if (!isCutOff && failedAt.size() < SUSPICIOUS_FAILURES) {
      return List.of();
    }
    return available.stream()
        .filter(runner -> isCutOff || !failedAt.containsKey(runner))
        .limit(MAX_FAILURES_NEEDED)
        .toList();
  }

  private void forgetOld(Instant now) {
    failedAt.values().removeIf(at -> at.isBefore(now.minus(FAILURE_MEMORY)));
  }

  /** Returns the runners to which no connection succeeds, and when it last failed. */
  public Map<String, Instant> failures() {
    return Map.copyOf(failedAt);
  }
}
