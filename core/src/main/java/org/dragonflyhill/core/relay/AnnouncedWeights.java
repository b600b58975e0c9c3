package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The weight versions that the operator has announced, with the time at which this node or, before
 * that, one of its peers learned of each.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class AnnouncedWeights {

  /** Number of versions of a model that are remembered; older ones are no longer in use. */
  private static final int MAX_VERSIONS = 16;

  private final Map<String, TreeMap<Long, Instant>> announcedAt = new HashMap<>();

  /**
   * Records an announced version.
   *
   * @param model name of the model
   * @param version weight version
   * @param at time of the announcement; the earliest time recorded for a version is kept
   * @return whether the version is newer than all that were known
   */
  public boolean announce(String model, long version, Instant at) {
    TreeMap<Long, Instant> versions = announcedAt.computeIfAbsent(model, any -> new TreeMap<>());
    boolean isNewest = versions.isEmpty() || version > versions.lastKey();
    versions.merge(version, at, (known, other) -> other.isBefore(known) ? other : known);
    if (versions.size() > MAX_VERSIONS) {
      versions.pollFirstEntry();
    }
    return isNewest;
  }

  /** Returns the newest version of a model, 0 if none is known. */
  public long newest(String model) {
    TreeMap<Long, Instant> versions = announcedAt.get(model);
    return versions == null ? 0 : versions.lastKey();
  }

  /** Returns the newest version of each model. */
  public Map<String, Long> newest() {
    Map<String, Long> newest = new HashMap<>();
    announcedAt.forEach((model, versions) -> newest.put(model, versions.lastKey()));
    return newest;
  }

  /**
   * Returns the time at which the first version newer than the given one was announced, empty if
   * the given one is the newest.
   */
  public Optional<Instant> replacedAt(String model, long version) {
    TreeMap<Long, Instant> versions = announcedAt.get(model);
    return versions == null
        ? Optional.empty()
        : versions.tailMap(version, false).values().stream().min(Instant::compareTo);
  }

  /** Returns, for each model, the versions announced within a time and their ages. */
  public Map<String, Map<Long, Duration>> recent(Duration maxAge, Instant now) {
    Map<String, Map<Long, Duration>> recent = new HashMap<>();
    announcedAt.forEach(
        (model, versions) ->
            versions.forEach(
                (version, at) -> {
                  Duration age = Duration.between(at, now);
                  if (age.compareTo(maxAge) <= 0) {
                    recent.computeIfAbsent(model, any -> new HashMap<>()).put(version, age);
                  }
                }));
    return recent;
  }
}
