package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides whether this node is cut off from the runners of a service, by the new connections to
 * them that succeed and fail. Data on connections that are open already does not count: they may
 * live on while new ones fail.
 *
 * <p>A node is cut off from a service while it reaches fewer of the runners that it tried lately
 * than it does not. Not thread-safe; no argument may be null.
 */
public final class ServiceReach {

  /** Number of runners that failed from which the others are tried too. */
  private static final int SUSPICIOUS_FAILURES = 2;

  /**
   * Number of runners that must have failed, if the service has so many that this is no majority.
   */
  private static final int MAX_FAILURES_NEEDED = 6;

  /** Maximum number of runners to try at a time. */
  private static final int MAX_VERIFIED = 6;

  /** Time for which the result of a connection counts; a suspicion has it renewed before. */
  private static final Duration RESULT_MEMORY = Duration.ofSeconds(6);

  private final Map<String, Result> results = new HashMap<>();
  private boolean isCutOff;

  /**
   * Records the result of a new connection to a runner.
   *
   * @param runner id of the runner
   * @param isConnected whether the connection was opened
   * @param available ids of the runners of the service that accept requests
   * @param now present time
   * @return whether the node has become cut off, or has ceased to be
   */
  public boolean record(
      String runner, boolean isConnected, Collection<String> available, Instant now) {
    results.put(runner, new Result(isConnected, now));
    forgetOld(now);
    long reached = count(available, true);
    long failed = count(available, false);
    long needed = Math.min(available.size() / 2 + 1, MAX_FAILURES_NEEDED);
    boolean wasCutOff = isCutOff;
    isCutOff = failed > reached && (wasCutOff || failed >= needed);
    return isCutOff != wasCutOff;
  }

  private long count(Collection<String> available, boolean isConnected) {
    return available.stream()
        .map(results::get)
        .filter(result -> result != null && result.isConnected() == isConnected)
        .count();
  }

  private void forgetOld(Instant now) {
    results.values().removeIf(result -> result.at().isBefore(now.minus(RESULT_MEMORY)));
  }

  /** Returns whether the node counts as cut off from the runners of the service. */
  public boolean isCutOff() {
    return isCutOff;
  }

  /**
   * Returns the runners to connect to in order to tell whether the node is cut off, or still is;
   * none without a suspicion.
   */
  public List<String> toVerify(Collection<String> available, Instant now) {
    forgetOld(now);
    if (!isCutOff && count(available, false) < SUSPICIOUS_FAILURES) {
      return List.of();
    }
    return available.stream()
        .filter(runner -> isCutOff || !results.containsKey(runner))
        .limit(MAX_VERIFIED)
        .toList();
  }

  /** Returns the runners to which the last connection failed, and when. */
  public Map<String, Instant> failures() {
    Map<String, Instant> failures = new TreeMap<>();
    results.forEach(
        (runner, result) -> {
          if (!result.isConnected()) {
            failures.put(runner, result.at());
          }
        });
    return failures;
  }

  private record Result(boolean isConnected, Instant at) {}
}
