package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks which weight versions no runner can use any more, so that the KV cache stored for them can
 * be freed.
 *
 * <p>The version of a runner only increases. A runner that disappears from the host list may still
 * be running, so its last version counts until {@link #MAX_UNLISTED_LIFETIME} has passed. Runners
 * that disappeared before this object was created are unknown, so no version is reported as
 * replaced until it has observed the host list for the same time.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class WeightsInUse {

  /**
   * Time after which every fetch that a runner began under older weights has ended. A fetch must
   * end within 2 s after its request was sent; the rest covers requests in transit.
   */
  public static final Duration FETCH_DRAIN_TIME = Duration.ofMillis(2_400);

  /**
   * Maximum time that a runner keeps running after it disappeared from the host list: the maximum
   * deadline of callers, 12 s in the platform specification, plus the 8.4 s within which all
   * runners change their weights.
   */
  public static final Duration MAX_UNLISTED_LIFETIME = Duration.ofMillis(20_400);

  private final Instant conclusiveFrom;
  private final Map<String, LastListing> runners = new HashMap<>();

  /** Maps model and version to the time since which all runners have had at least that version. */
  private final Map<String, TreeMap<Long, Instant>> minVersionReachedAt = new HashMap<>();

  /** Creates a tracker that observes the host list from now on. */
  public WeightsInUse(Instant now) {
    conclusiveFrom = now.plus(MAX_UNLISTED_LIFETIME);
  }

  /** Records the runners that are listed now, including draining ones. */
  public void observe(Collection<Runner> listed, Instant now) {
    for (Runner runner : listed) {
      Map<String, Long> versions = new HashMap<>();
      for (String model : runner.info().weightVersions().keySet()) {
        versions.put(model, runner.weightVersion(model));
      }
      runners.put(runner.id(), new LastListing(versions, now));
    }
    runners
        .values()
        .removeIf(listing -> listing.listedAt().plus(MAX_UNLISTED_LIFETIME).isBefore(now));
    Map<String, Long> minVersions = new HashMap<>();
    for (LastListing listing : runners.values()) {
      listing.versions().forEach((model, version) -> minVersions.merge(model, version, Math::min));
    }
    minVersions.forEach((model, version) -> recordMinVersion(model, version, now));
  }

  private void recordMinVersion(String model, long version, Instant now) {
    TreeMap<Long, Instant> reachedAt =
        minVersionReachedAt.computeIfAbsent(model, any -> new TreeMap<>());
    reachedAt.tailMap(version, false).clear();
    reachedAt.putIfAbsent(version, now);
  }

  /**
   * Returns whether all runners have had a newer version for so long that the KV cache stored for
   * this version can no longer be read.
   */
  public boolean isReplaced(String model, long version, Instant now) {
    TreeMap<Long, Instant> reachedAt = minVersionReachedAt.get(model);
    if (reachedAt == null || now.isBefore(conclusiveFrom)) {
      return false;
    }
    Instant limit = now.minus(FETCH_DRAIN_TIME);
    return reachedAt.tailMap(version, false).values().stream().anyMatch(at -> !at.isAfter(limit));
  }

  /** Weight versions of a runner when it was last listed. */
  private record LastListing(Map<String, Long> versions, Instant listedAt) {}
}
