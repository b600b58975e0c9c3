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
 * The runners in the host list.
 *
 * <p>Entries of live runners may expire while the host list is unreachable. A runner whose entry is
 * missing right after such an outage is therefore kept for a grace period, in which a live runner
 * registers again.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class RunnerTable {

  /**
   * Time within which live runners are listed again after an outage of the host list, from the
   * platform specification.
   */
  public static final Duration RELISTING_GRACE = Duration.ofMillis(1_900);

  private final Map<String, Runner> runners = new LinkedHashMap<>();
  private Optional<Instant> hostListRestoredAt = Optional.empty();

  /** Records that the host list is reachable again after an outage. */
  public void hostListRestored(Instant now) {
    hostListRestoredAt = Optional.of(now);
  }

  /**
   * Adds a runner or updates its entry. An entry of an older process instance is ignored. Returns
   * whether the entry describes a new instance.
   */
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

  /**
   * Handles the removal of a runner from the host list. Returns whether the runner is removed now;
   * after an outage it is kept until {@link #removeExpired}.
   */
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

  /**
   * Applies a complete host list by removing the runners that it lacks, as {@link #remove} does.
   * Returns the ids of the runners that are removed now.
   */
  public List<String> retainListed(Collection<String> listed, Instant now) {
    return runners.keySet().stream().filter(id -> !listed.contains(id)).toList().stream()
        .filter(id -> remove(id, now))
        .toList();
  }

  /** Removes the runners that were not listed again in the grace period and returns their ids. */
  public List<String> removeExpired(Instant now) {
    Instant limit = hostListRestoredAt.orElse(Instant.MIN);
    if (Duration.between(limit, now).compareTo(RELISTING_GRACE) < 0) {
      return List.of();
    }
    List<String> expired =
        runners.values().stream()
            .filter(runner -> runner.missingSince().isPresent())
            .map(Runner::id)
            .toList();
    expired.forEach(runners::remove);
    return expired;
  }

  private boolean isAfterOutage(Instant now) {
    return hostListRestoredAt.filter(at -> now.isBefore(at.plus(RELISTING_GRACE))).isPresent();
  }

  /** Returns the runner with an id. */
  public Optional<Runner> find(String id) {
    return Optional.ofNullable(runners.get(id));
  }

  /** Returns all runners. */
  public Collection<Runner> all() {
    return runners.values();
  }

  /** Returns the runners of a service that accept new requests. */
  public List<Runner> availableRunners(String service) {
    List<Runner> available = new ArrayList<>();
    for (Runner runner : runners.values()) {
      if (runner.info().service().equals(service) && runner.isAvailable()) {
        available.add(runner);
      }
    }
    return available;
  }
}
