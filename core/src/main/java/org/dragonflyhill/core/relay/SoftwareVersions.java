package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Which software versions the runners of each service had lately. Not thread-safe; no argument may
 * be null.
 */
final class SoftwareVersions {

  /** Time for which a version is remembered after a runner that had it has gone. */
  static final Duration MEMORY = Duration.ofMinutes(10);

  private final Map<ServiceVersion, Instant> goneAt = new HashMap<>();
  private Optional<Instant> firstListedAt = Optional.empty();

  /** Records that a runner was listed. */
  void recordListed(Instant now) {
    if (firstListedAt.isEmpty()) {
      firstListedAt = Optional.of(now);
    }
  }

  /** Records that a process is no longer listed. */
  void recordGone(RunnerInfo info, Instant now) {
    goneAt.values().removeIf(at -> at.isBefore(now.minus(MEMORY)));
    goneAt.put(new ServiceVersion(info.service(), info.softwareVersion()), now);
  }

  /**
   * Returns the version of a service if all its runners have had the same for some time.
   *
   * @param service name of the service
   * @param time the time, at most {@link #MEMORY}
   * @param listed the runners that are listed now
   * @param now present time
   */
  Optional<String> sole(String service, Duration time, Collection<RunnerInfo> listed, Instant now) {
    Instant since = now.minus(time);
    if (time.compareTo(MEMORY) > 0 || firstListedAt.filter(at -> !at.isAfter(since)).isEmpty()) {
      return Optional.empty();
    }
    Set<Optional<String>> versions = new HashSet<>();
    listed.stream()
        .filter(info -> info.service().equals(service))
        .forEach(info -> versions.add(info.softwareVersion()));
    goneAt.forEach(
        (gone, at) -> {
          if (gone.service().equals(service) && !at.isBefore(since)) {
            versions.add(gone.version());
          }
        });
    return versions.size() == 1 ? versions.iterator().next() : Optional.empty();
  }

  private record ServiceVersion(String service, Optional<String> version) {}
}
