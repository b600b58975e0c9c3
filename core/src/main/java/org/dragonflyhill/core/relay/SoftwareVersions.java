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

  /** Time for which a version counts after its last runner has gone, as for streams begun there. */
  static final Duration HISTORY = StreamOrigins.RETENTION;

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
    goneAt.values().removeIf(at -> at.isBefore(now.minus(HISTORY)));
    goneAt.put(new ServiceVersion(info.service(), info.softwareVersion()), now);
  }

  /**
   * Returns the version of a service if all its runners have had the same since {@link #HISTORY}.
   *
   * @param service name of the service
   * @param listed the runners that are listed now
   * @param now present time
   */
  Optional<String> sole(String service, Collection<RunnerInfo> listed, Instant now) {
    Instant since = now.minus(HISTORY);
    if (firstListedAt.filter(at -> !at.isAfter(since)).isEmpty()) {
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
