package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
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

  /** Time after which the host list shows a process that has replaced another one. */
  public static final Duration RESTART_LISTING_TIME = Duration.ofSeconds(3);

  /**
   * Age of the host list from which it may lack runners that other nodes know. It is read about
   * once a second.
   */
  public static final Duration MAX_AGE = Duration.ofSeconds(2);

  /** Time for which removed runners are remembered, longer than a copy of the host list is old. */
  private static final Duration DEPARTURE_MEMORY = Duration.ofMinutes(1);

  private final Map<String, Runner> runners = new LinkedHashMap<>();
  private final Map<String, Departure> departures = new HashMap<>();
  private final Map<String, ServiceCapacity> capacities = new HashMap<>();
  private final SoftwareVersions softwareVersions = new SoftwareVersions();
  private final Evacuations evacuations = new Evacuations();
  private Optional<Instant> hostListRestoredAt = Optional.empty();
  private Instant currentAt = Instant.MIN;

  /**
   * Records that this table has all that the host list had at a time.
   *
   * @param at time before the host list was read, not that at which the response was handled: this
   *     process may have been suspended in between
   */
  public void recordCurrent(Instant at) {
    currentAt = at.isAfter(currentAt) ? at : currentAt;
  }

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
    if (known != null) {
      softwareVersions.recordGone(known.info(), now);
    }
    softwareVersions.recordListed(now);
    departures.remove(info.id());
    ServiceCapacity capacity =
        capacities.computeIfAbsent(info.service(), any -> new ServiceCapacity());
    runners.put(info.id(), new Runner(info, capacity, now));
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
    removeNow(runner, now);
    return true;
  }

  private void removeNow(Runner runner, Instant now) {
    softwareVersions.recordGone(runner.info(), now);
    runners.remove(runner.id());
    departures.values().removeIf(old -> old.at().isBefore(now.minus(DEPARTURE_MEMORY)));
    departures.put(runner.id(), new Departure(runner.info(), now));
  }

  /**
   * Returns whether a process was removed from the host list in the last minute. If a copy of the
   * host list still has its entry, the entry is older than the removal.
   */
  public boolean hasLeft(RunnerInfo info, Instant now) {
    Departure departure = departures.get(info.id());
    return departure != null
        && departure.info().isSameInstance(info)
        && !now.isAfter(departure.at().plus(DEPARTURE_MEMORY));
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
    List<Runner> expired =
        runners.values().stream().filter(runner -> runner.missingSince().isPresent()).toList();
    expired.forEach(runner -> removeNow(runner, now));
    return expired.stream().map(Runner::id).toList();
  }

  private boolean isAfterOutage(Instant now) {
    return hostListRestoredAt.filter(at -> now.isBefore(at.plus(RELISTING_GRACE))).isPresent();
  }

  /**
   * Returns the version of the software that a runner's process has. It is empty if the host list
   * names none, or if the process may have been replaced since it was listed.
   *
   * @param runner the runner
   * @param isHostListReachable whether changes of the host list are read at present
   * @param now present time
   */
  public Optional<String> softwareVersion(Runner runner, boolean isHostListReachable, Instant now) {
    return runners.get(runner.id()) == runner && !mayBeReplaced(runner, isHostListReachable, now)
        ? runner.info().softwareVersion()
        : Optional.empty();
  }

  private boolean mayBeReplaced(Runner runner, boolean isHostListReachable, Instant now) {
    return runner
        .unreachedAt()
        .filter(
            at ->
                !isHostListReachable
                    || now.isBefore(at.plus(RESTART_LISTING_TIME))
                    || hostListRestoredAt
                        .filter(restored -> now.isBefore(restored.plus(RESTART_LISTING_TIME)))
                        .isPresent())
        .isPresent();
  }

  /**
   * Returns the software version of a service if it has been the only one for some time. It is
   * empty if the host list was not read lately: runners of another version may have joined.
   *
   * @param service name of the service
   * @param time the time, at most 10 minutes
   * @param now present time
   */
  public Optional<String> soleSoftwareVersion(String service, Duration time, Instant now) {
    if (now.isAfter(currentAt.plus(MAX_AGE))) {
      return Optional.empty();
    }
    return softwareVersions.sole(
        service, time, runners.values().stream().map(Runner::info).toList(), now);
  }

  /** Returns the runner with an id. */
  public Optional<Runner> find(String id) {
    return Optional.ofNullable(runners.get(id));
  }

  /** Returns all runners. */
  public Collection<Runner> all() {
    return runners.values();
  }

  /** Returns the evacuated availability zones, whose runners get no new requests. */
  public Evacuations evacuations() {
    return evacuations;
  }

  /** Returns the runners of a service that accept new requests, in zones that do. */
  public List<Runner> availableRunners(String service) {
    List<Runner> available = new ArrayList<>();
    for (Runner runner : runners.values()) {
      if (runner.info().service().equals(service)
          && runner.isAvailable()
          && !evacuations.isEvacuated(runner.info().zone())) {
        available.add(runner);
      }
    }
    return available;
  }

  private record Departure(RunnerInfo info, Instant at) {}
}
