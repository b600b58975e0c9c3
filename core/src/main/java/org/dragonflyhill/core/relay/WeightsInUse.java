package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Knows which weight versions no runner can have any more, so that nothing kept for them can be
 * read.
 *
 * <p>A runner's version only grows. A runner that leaves the list may live on, so it counts with
 * the version that it had last until it is surely gone; for the same reason nothing is certain
 * until this has watched for that long.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class WeightsInUse {

  /**
   * Time in which a fetch ends that began while its runner had older weights: fetches are given 2 s
   * from the sending of their request; the rest is for a request on its way.
   */
  public static final Duration FETCH_DRAIN_TIME = Duration.ofMillis(2_400);

  /**
   * Longest life of a runner that is no longer listed: the longest time that callers give, 12 s in
   * the users' tables, and the 8.4 s within which all runners change.
   */
  public static final Duration MAX_UNLISTED_LIFETIME = Duration.ofMillis(20_400);

  private final Instant conclusiveFrom;
  private final Map<String, LastListing> runners = new HashMap<>();

  /** For each model: from when on all runners had at least a version. */
  private final Map<String, TreeMap<Long, Instant>> minVersionReachedAt = new HashMap<>();

  /** Begins to watch. */
  public WeightsInUse(Instant now) {
    conclusiveFrom = now.plus(MAX_UNLISTED_LIFETIME);
  }

  /** Notes the runners that are listed now, leaving ones too. */
  public void observe(Collection<Runner> listed, Instant now) {
    for (Runner runner : listed) {
      Map<String, Long> versions = new HashMap<>();
      for (String model : runner.info().weightVersions().keySet()) {
        versions.put(model, runner.weightVersion(model));
      }
      runners.put(runner.id(), new LastListing(versions, now));
    }
    runners.values().removeIf(seen -> seen.at().plus(MAX_UNLISTED_LIFETIME).isBefore(now));
    Map<String, Long> least = new HashMap<>();
    for (LastListing seen : runners.values()) {
      seen.versions().forEach((model, version) -> least.merge(model, version, Math::min));
    }
    least.forEach((model, version) -> recordMinVersion(model, version, now));
  }

  private void recordMinVersion(String model, long version, Instant now) {
    TreeMap<Long, Instant> since =
        minVersionReachedAt.computeIfAbsent(model, any -> new TreeMap<>());
    since.tailMap(version, false).clear();
    since.putIfAbsent(version, now);
  }

  /** Returns whether nothing that is kept for a version can be read now or later. */
  public boolean isReplaced(String model, long version, Instant now) {
    TreeMap<Long, Instant> since = minVersionReachedAt.get(model);
    if (since == null || now.isBefore(conclusiveFrom)) {
      return false;
    }
    Instant limit = now.minus(FETCH_DRAIN_TIME);
    return since.tailMap(version, false).values().stream().anyMatch(at -> !at.isAfter(limit));
  }

  /** A runner's weight versions when it was last listed. */
  private record LastListing(Map<String, Long> versions, Instant at) {}
}
