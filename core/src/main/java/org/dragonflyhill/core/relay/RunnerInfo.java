package org.dragonflyhill.core.relay;

import java.util.Map;

/**
 * What a runner says of itself in the host list. Immutable; no component is null.
 *
 * @param id identifier, new at most starts
 * @param service name of its service
 * @param endpoint where it is
 * @param zone its availability zone
 * @param slots requests that it runs at once
 * @param isDraining whether it leaves and takes no new work
 * @param weightVersions weight version of each of its models
 * @param startedAtMillis Unix time of its start in milliseconds, 0 if it does not say
 */
public record RunnerInfo(
    String id,
    String service,
    Endpoint endpoint,
    String zone,
    int slots,
    boolean isDraining,
    Map<String, Long> weightVersions,
    long startedAtMillis) {

  /** Copies the versions. */
  public RunnerInfo {
    weightVersions = Map.copyOf(weightVersions);
  }

  /** Returns whether this is the same start of the same runner. */
  public boolean isSameInstance(RunnerInfo other) {
    return id.equals(other.id)
        && startedAtMillis == other.startedAtMillis
        && endpoint.equals(other.endpoint);
  }
}
