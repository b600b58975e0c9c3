package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The runners that the host list names.
 *
 * <p>Entries may lapse while the list is out of reach though their runners live. A runner whose
 * entry is found missing right after such a time is kept for a grace period; it is back on the list
 * by then or is gone.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class RunnerTable {

  /** Time in which live runners are back on the list after an outage, by the users' pages. */
  public static final Duration RELISTING_GRACE = Duration.ofMillis(1_900);

  private final Map<String, Runner> runners = new LinkedHashMap<>();
  private Optional<Instant> hostListRestoredAt = Optional.empty();

  /** Notes that the list is in reach again after an outage. */
  public void hostListRestored(Instant now) {
    hostListRestoredAt = Optional.of(now);
  }

  /** Adds a runner or brings its entry up to date; returns whether it is a new start. */
  public boolean put(RunnerInfo info, Instant now) {
    Runner known = runners.get(info.id());
    if (known != null && known.info().isSameInstance(info)) {
      known.update(info);
      return false;
    }
    if (known != null && info.startedAtMillis() < known.info().startedAtMillis()) {
      return false;
    }
    runners.put(info.id(), new Runner(info, now));
    return true;
  }

  /** Notes that the list names a runner no more; returns whether it is dropped at once. */
  public boolean remove(String id, Instant now) {
    Runner runner = runners.get(id);
    if (runner == null) {
      return false;
    }
    if (isAfterOutage(now) && runner.isAvailable()) {
      runner.markMissing(now);
      return false;
    }
    runners.remove(id);
    return true;
  }

  /** Notes a complete list: runners that it lacks are removed. Returns the ids that are dropped. */
  public List<String> retainListed(Collection<String> listed, Instant now) {
    return runners.keySet().stream().filter(id -> !listed.contains(id)).toList().stream()
        .filter(id -> remove(id, now))
        .toList();
  }

  /** Drops the runners that did not come back in time, and returns their ids. */
  public List<String> removeExpired(Instant now) {
    Instant limit = hostListRestoredAt.orElse(Instant.MIN);
    if (Duration.between(limit, now).compareTo(RELISTING_GRACE) < 0) {
      return List.of();
    }
    List<String> gone =
        runners.values().stream()
            .filter(runner -> runner.missingSince().isPresent())
            .map(Runner::id)
            .toList();
    gone.forEach(runners::remove);
    return gone;
  }

  private boolean isAfterOutage(Instant now) {
    return hostListRestoredAt.filter(at -> now.isBefore(at.plus(RELISTING_GRACE))).isPresent();
  }

  /** Finds a runner. */
  public Optional<Runner> find(String id) {
    return Optional.ofNullable(runners.get(id));
  }

  /** Returns all runners. */
  public Collection<Runner> all() {
    return runners.values();
  }

  /** Returns the runners of a service that may get new work. */
  public List<Runner> availableRunners(String service) {
    List<Runner> open = new ArrayList<>();
    for (Runner runner : runners.values()) {
      if (runner.info().service().equals(service) && runner.isAvailable()) {
        open.add(runner);
      }
    }
    return open;
  }
}
