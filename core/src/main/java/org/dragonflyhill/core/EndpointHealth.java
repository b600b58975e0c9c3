package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether an endpoint may get new work, from the host list and what was observed.
 *
 * <p>The most pessimistic sign wins.
 *
 * <pre>{@code
 * health.failed("runner-1", now);
 * boolean usable = health.isUsable("runner-1", now);
 * }</pre>
 *
 * <p>Not thread-safe; its owner guards it. No argument may be null.
 */
public final class EndpointHealth {

  /** Consecutive failures after which an endpoint is ejected. */
  public static final int EJECTION_FAILURES = 3;

  /** Time for which an endpoint is ejected at first; it doubles with each further ejection. */
  public static final Duration EJECTION_TIME = Duration.ofSeconds(2);

  private static final int MAX_DOUBLINGS = 5;

  private final Map<String, Observation> observations = new HashMap<>();
  private Set<String> leaving = Set.of();

  /** Replaces the names of the endpoints that the host list calls leaving. */
  public void leaving(Set<String> names) {
    leaving = new HashSet<>(names);
  }

  /** Notes that the endpoint itself said that it is leaving. */
  public void saidLeaving(String endpoint, Instant now) {
    observations.put(endpoint, new Observation(0, 0, now.plus(EJECTION_TIME)));
  }

  /** Notes an answer. */
  public void succeeded(String endpoint) {
    observations.remove(endpoint);
  }

  /** Notes a failure to answer. */
  public void failed(String endpoint, Instant now) {
    Observation before = observations.getOrDefault(endpoint, Observation.NONE);
    int failures = before.failures() + 1;
    if (failures < EJECTION_FAILURES) {
      observations.put(endpoint, new Observation(failures, before.ejections(), before.until()));
      return;
    }
    int doublings = Math.min(before.ejections(), MAX_DOUBLINGS);
    Instant until = now.plus(EJECTION_TIME.multipliedBy(1L << doublings));
    observations.put(endpoint, new Observation(0, before.ejections() + 1, until));
  }

  /** Returns whether the endpoint may get new work. */
  public boolean isUsable(String endpoint, Instant now) {
    if (leaving.contains(endpoint)) {
      return false;
    }
    return !now.isBefore(observations.getOrDefault(endpoint, Observation.NONE).until());
  }

  private record Observation(int failures, int ejections, Instant until) {
    static final Observation NONE = new Observation(0, 0, Instant.EPOCH);
  }
}
