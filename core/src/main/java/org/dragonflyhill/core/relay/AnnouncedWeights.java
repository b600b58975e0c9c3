package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The weight versions that the operator has announced, each with a time that is not later than its
 * announcement. A node that found a version in the log at its start assumes this time, until a peer
 * that was there reports it.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class AnnouncedWeights {

  /** Number of versions of a model that are remembered; older ones are no longer in use. */
  private static final int MAX_VERSIONS = 16;

  private final Map<String, TreeMap<Long, Announcement>> announcements = new HashMap<>();

  /**
   * Records an announced version.
   *
   * @param model name of the model
   * @param version weight version
   * @param at time of the announcement; the earliest time recorded for a version is kept
   * @return whether the version is newer than all that were known
   */
  public boolean announce(String model, long version, Instant at) {
    return record(model, version, new Announcement(at, false));
  }

  /**
   * Records a version that was announced at an unknown time.
   *
   * @param model name of the model
   * @param version weight version
   * @param at assumed time of the announcement; any known time replaces it
   * @return whether the version is newer than all that were known
   */
  public boolean assume(String model, long version, Instant at) {
    return record(model, version, new Announcement(at, true));
  }

  /** Returns whether the time of an announcement is assumed. */
  public boolean isAssumed(String model, long version) {
    TreeMap<Long, Announcement> versions = announcements.get(model);
    return versions != null && versions.containsKey(version) && versions.get(version).isAssumed();
  }

  private boolean record(String model, long version, Announcement announcement) {
    TreeMap<Long, Announcement> versions =
        announcements.computeIfAbsent(model, any -> new TreeMap<>());
    boolean isNewest = versions.isEmpty() || version > versions.lastKey();
    versions.merge(version, announcement, Announcement::moreCertain);
    if (versions.size() > MAX_VERSIONS) {
      versions.pollFirstEntry();
    }
    return isNewest;
  }

  /** Returns the newest version of a model, 0 if none is known. */
  public long newest(String model) {
    TreeMap<Long, Announcement> versions = announcements.get(model);
    return versions == null ? 0 : versions.lastKey();
  }

  /** Returns the newest version of each model. */
  public Map<String, Long> newest() {
    Map<String, Long> newest = new HashMap<>();
    announcements.forEach((model, versions) -> newest.put(model, versions.lastKey()));
    return newest;
  }

  /**
   * Returns the time at which the first version newer than the given one was announced, empty if
   * the given one is the newest.
   */
  public Optional<Instant> replacedAt(String model, long version) {
    TreeMap<Long, Announcement> versions = announcements.get(model);
    return versions == null
        ? Optional.empty()
        : versions.tailMap(version, false).values().stream()
            .map(Announcement::at)
            .min(Instant::compareTo);
  }

  /** Returns when the first of the weights that a runner has was replaced, empty if none was. */
  public Optional<Instant> replacedAt(Runner runner) {
    return runner.info().weightVersions().keySet().stream()
        .map(model -> replacedAt(model, runner.weightVersion(model)))
        .flatMap(Optional::stream)
        .min(Instant::compareTo);
  }

  /** Returns, for each model, the versions known to be announced within a time and their ages. */
  public Map<String, Map<Long, Duration>> recent(Duration maxAge, Instant now) {
    Map<String, Map<Long, Duration>> recent = new HashMap<>();
    announcements.forEach(
        (model, versions) ->
            versions.forEach(
                (version, announcement) -> {
                  Duration age = Duration.between(announcement.at(), now);
                  if (!announcement.isAssumed() && age.compareTo(maxAge) <= 0) {
                    recent.computeIfAbsent(model, any -> new HashMap<>()).put(version, age);
                  }
                }));
    return recent;
  }

  private record Announcement(Instant at, boolean isAssumed) {
    private Announcement moreCertain(Announcement other) {
      if (isAssumed != other.isAssumed) {
        return isAssumed ? other : this;
      }
      return other.at.isBefore(at) ? other : this;
    }
  }
}
