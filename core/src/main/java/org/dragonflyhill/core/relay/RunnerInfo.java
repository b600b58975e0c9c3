package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * Entry of a runner in the host list. Immutable; no component is null.
 *
 * @param id identifier, which usually changes when the runner restarts
 * @param service name of the service
 * @param endpoint network address
 * @param zone availability zone
 * @param slots maximum number of concurrently running requests
 * @param isDraining whether the runner is shutting down and accepts no new requests
 * @param weightVersions weight version of each model
 * @param softwareVersion version of the runner's software, an opaque name; empty if unknown
 * @param startedAtMillis Unix time of the process start in milliseconds, 0 if unknown
 * @param coldRemaining time for which the runner is cold when it writes the entry
 */
public record RunnerInfo(
    String id,
    String service,
    Endpoint endpoint,
    String zone,
    int slots,
    boolean isDraining,
    Map<String, Long> weightVersions,
    Optional<String> softwareVersion,
    long startedAtMillis,
    Duration coldRemaining) {

  /** Creates an entry with a copy of the weight versions. */
  public RunnerInfo {
    weightVersions = Map.copyOf(weightVersions);
  }

  /** Creates an entry of a runner that is not cold. */
  public RunnerInfo(
      String id,
      String service,
      Endpoint endpoint,
      String zone,
      int slots,
      boolean isDraining,
      Map<String, Long> weightVersions,
      Optional<String> softwareVersion,
      long startedAtMillis) {
    this(
        id,
        service,
        endpoint,
        zone,
        slots,
        isDraining,
        weightVersions,
        softwareVersion,
        startedAtMillis,
        Duration.ZERO);
  }

  /** Returns whether an entry says the same, apart from the time for which the runner is cold. */
  public boolean isSameExceptColdTime(RunnerInfo other) {
    return withColdRemaining(Duration.ZERO).equals(other.withColdRemaining(Duration.ZERO));
  }

  private RunnerInfo withColdRemaining(Duration remaining) {
    return new RunnerInfo(
        id,
        service,
        endpoint,
        zone,
        slots,
        isDraining,
        weightVersions,
        softwareVersion,
        startedAtMillis,
        remaining);
  }

  /** Returns whether an entry describes the same process instance of the same runner. */
  public boolean isSameInstance(RunnerInfo other) {
    return id.equals(other.id)
        && startedAtMillis == other.startedAtMillis
        && endpoint.equals(other.endpoint);
  }
}
