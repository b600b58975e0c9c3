package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Prompt parts under which runners crashed while they began an answer, as seen by all nodes.
 *
 * <p>A crash makes every part suspect that the runner had just begun to answer. Since sound prompts
 * share parts with the one that caused it, an answer that is sound clears its parts of all crashes
 * before it began. A part with several crashes since, which did not all come at once, is blocked
 * until they are old.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class CrashSuspects {

  /** Number of crashes without a sound answer since from which a part is blocked. */
  public static final int BLOCKING_CRASHES = 3;

  /**
   * Minimum time from the first to the last of these crashes. Runners that end together, with their
   * rack for example, say nothing of the prompts that they were about to answer.
   */
  public static final Duration BLOCKING_SPAN = Duration.ofMillis(600);

  /** Time after which a crash is forgotten. */
  public static final Duration CRASH_MEMORY = Duration.ofMinutes(10);

  /** Maximum number of parts that are remembered. */
  static final int MAX_PARTS = 512;

  /** Maximum number of crashes that are remembered for a part: the oldest and the newest ones. */
  static final int MAX_CRASHES_PER_PART = 16;

  /** Maximum number of suspect parts, and of cleared ones, in a report. */
  static final int MAX_REPORTED_PARTS = 32;

  /**
   * Time for which a part with a single crash is reported. Most of these parts were only by chance
   * at a runner that crashed.
   */
  static final Duration SINGLE_CRASH_REPORTING = Duration.ofSeconds(10);

  /** Time for which a sound answer is reported after it cleared a crash, also one of a peer. */
  private static final Duration SOUND_ANSWER_REPORTING = Duration.ofSeconds(3);

  private static final Comparator<Suspect> MOST_SUSPECT_FIRST =
      Comparator.comparingInt(Suspect::crashCount).thenComparing(Suspect::newestCrash).reversed();

  private final Map<String, Suspect> suspects = new HashMap<>();

  /** When the newest sound answers began, by part, those recorded last at the end. */
  private final Map<String, Instant> soundAnswers = new LinkedHashMap<>();

  /** Returns whether no part is suspect, or was lately. */
  public boolean isEmpty() {
    return suspects.isEmpty();
  }

  /**
   * Records the crash of a runner.
   *
   * @param crash identifier of the crash, equal for all nodes that see it
   * @param parts parts of the prompts that the runner had just begun to answer
   * @param now present time
   */
  public void recordCrash(String crash, Collection<String> parts, Instant now) {
    removeForgotten(now);
    parts.forEach(part -> suspect(part).addCrash(crash, now));
    removeExcess();
  }

  /**
   * Records an answer that its runner completed or went on with for a while.
   *
   * @param parts shared parts of its prompt
   * @param begunAt when the answer began
   */
  public void recordSoundAnswer(Collection<String> parts, Instant begunAt) {
    for (String part : parts) {
      Instant known = soundAnswers.remove(part);
      soundAnswers.put(part, known == null ? begunAt : later(known, begunAt));
      Suspect suspect = suspects.get(part);
      if (suspect != null) {
        suspect.recordSoundAnswer(begunAt);
      }
    }
    while (soundAnswers.size() > MAX_PARTS) {
      soundAnswers.remove(soundAnswers.keySet().iterator().next());
    }
  }

  /**
   * Returns the first of a prompt's parts for which the prompt is blocked. A part that was in no
   * crash without a certain other blocked one does not block prompts that lack the other: they show
   * which of the two is bad.
   */
  public Optional<String> blockedPart(Collection<String> parts, Instant now) {
    return parts.stream().filter(part -> isBlocked(part, parts, now)).findFirst();
  }

  private boolean isBlocked(String part, Collection<String> parts, Instant now) {
    Suspect suspect = suspects.get(part);
    if (suspect == null) {
      return false;
    }
    suspect.forgetCrashes(now);
    return suspect.isBlocked()
        && suspects.entrySet().stream()
            .filter(other -> other.getValue().isBlocked() && !parts.contains(other.getKey()))
            .noneMatch(other -> other.getValue().hasCrashesOf(suspect));
  }

  /** Returns what this node knows, for its peers. Crashes that others have told are included. */
  public CrashReport report(Instant now) {
    removeForgotten(now);
    Map<String, Map<String, Duration>> crashes = new HashMap<>();
    Map<String, Duration> answerAges = new HashMap<>();
    List<Map.Entry<String, Suspect>> sorted =
        suspects.entrySet().stream()
            .sorted(Map.Entry.comparingByValue(MOST_SUSPECT_FIRST))
            .toList();
    for (Map.Entry<String, Suspect> entry : sorted) {
      Suspect suspect = entry.getValue();
      if (suspect.isReportable(now) && crashes.size() < MAX_REPORTED_PARTS) {
        crashes.put(entry.getKey(), suspect.crashAges(now));
      }
      if (suspect.isSoundAnswerMissedByPeer(now) && answerAges.size() < MAX_REPORTED_PARTS) {
        answerAges.put(entry.getKey(), Duration.between(suspect.ownSoundAnswer, now));
      }
    }
    return new CrashReport(crashes, answerAges);
  }

  /** Adds what another node knows. */
  public void merge(CrashReport report, Instant now) {
    report
        .crashes()
        .forEach(
            (part, ages) -> {
              Suspect suspect = suspect(part);
              ages.forEach((crash, age) -> suspect.addReportedCrash(crash, now.minus(age), now));
            });
    report
        .soundAnswers()
        .forEach(
            (part, age) -> {
              Suspect suspect = suspects.get(part);
              if (suspect != null) {
                suspect.clearBefore(now.minus(age));
              }
            });
    removeForgotten(now);
    removeExcess();
  }

  private Suspect suspect(String part) {
    return suspects.computeIfAbsent(
        part, any -> new Suspect(soundAnswers.getOrDefault(part, Instant.MIN)));
  }

  private void removeForgotten(Instant now) {
    suspects
        .values()
        .removeIf(
            suspect -> {
              suspect.forgetCrashes(now);
              return suspect.crashes.isEmpty();
            });
  }

  private void removeExcess() {
    if (suspects.size() > MAX_PARTS) {
      suspects.entrySet().stream()
          .sorted(Map.Entry.comparingByValue(MOST_SUSPECT_FIRST))
          .skip(MAX_PARTS)
          .map(Map.Entry::getKey)
          .toList()
          .forEach(suspects::remove);
    }
  }

  private static boolean isWithin(Instant at, Duration age, Instant now) {
    return at.isAfter(now.minus(age));
  }

  private static Instant later(Instant a, Instant b) {
    return a.isAfter(b) ? a : b;
  }

  private static final class Suspect {
    /** Earliest known times of the crashes, including those that a sound answer has cleared. */
    private final Map<String, Instant> crashes = new LinkedHashMap<>();

    private Instant clearedUntil;
    private Instant ownSoundAnswer;
    private Instant clearedCrashAt = Instant.MIN;

    Suspect(Instant ownSoundAnswer) {
      this.ownSoundAnswer = ownSoundAnswer;
      clearedUntil = ownSoundAnswer;
    }

    int crashCount() {
      return (int) openTimes().count();
    }

    private boolean isOpen(Instant crashAt) {
      return crashAt.isAfter(clearedUntil);
    }

    boolean isBlocked() {
      return crashCount() >= BLOCKING_CRASHES
          && Duration.between(oldestCrash(), newestCrash()).compareTo(BLOCKING_SPAN) >= 0;
    }

    boolean hasCrashesOf(Suspect other) {
      return openCrashes().containsAll(other.openCrashes());
    }

    private Set<String> openCrashes() {
      return crashes.entrySet().stream()
          .filter(crash -> isOpen(crash.getValue()))
          .map(Map.Entry::getKey)
          .collect(Collectors.toSet());
    }

    Instant newestCrash() {
      return openTimes().max(Comparator.naturalOrder()).orElse(Instant.MIN);
    }

    Instant oldestCrash() {
      return openTimes().min(Comparator.naturalOrder()).orElse(Instant.MIN);
    }

    private Stream<Instant> openTimes() {
      return crashes.values().stream().filter(this::isOpen);
    }

    boolean isReportable(Instant now) {
      int count = crashCount();
      return count > 1 || count == 1 && isWithin(newestCrash(), SINGLE_CRASH_REPORTING, now);
    }

    void recordSoundAnswer(Instant begunAt) {
      int before = crashCount();
      ownSoundAnswer = later(ownSoundAnswer, begunAt);
      clearBefore(begunAt);
      if (crashCount() < before) {
        clearedCrashAt = begunAt;
      }
    }

    /** Returns whether peers may hold a crash against the part that a sound answer has cleared. */
    boolean isSoundAnswerMissedByPeer(Instant now) {
      return ownSoundAnswer.isAfter(Instant.MIN)
          && isWithin(clearedCrashAt, SOUND_ANSWER_REPORTING, now);
    }

    void addReportedCrash(String crash, Instant at, Instant now) {
      addCrash(crash, at);
      if (crashes.containsKey(crash) && !isOpen(crashes.get(crash))) {
        clearedCrashAt = now;
      }
    }

    /** Adds a crash. Reports of it arrive late, so the earliest time is the most accurate. */
    void addCrash(String crash, Instant at) {
      crashes.merge(crash, at, (known, other) -> known.isBefore(other) ? known : other);
      if (crashes.size() > MAX_CRASHES_PER_PART) {
        // The oldest one is needed for the time between the first and the last.
        crashes.entrySet().stream()
            .sorted(Map.Entry.comparingByValue())
            .skip(1)
            .findFirst()
            .map(Map.Entry::getKey)
            .ifPresent(crashes::remove);
      }
    }

    void clearBefore(Instant begunAt) {
      clearedUntil = later(clearedUntil, begunAt);
    }

    void forgetCrashes(Instant now) {
      crashes.values().removeIf(at -> Duration.between(at, now).compareTo(CRASH_MEMORY) > 0);
    }

    /** Returns the ages of the crashes that no sound answer has cleared. */
    Map<String, Duration> crashAges(Instant now) {
      return crashes.entrySet().stream()
          .filter(crash -> isOpen(crash.getValue()))
          .collect(
              Collectors.toMap(
                  Map.Entry::getKey, crash -> Duration.between(crash.getValue(), now)));
    }
  }
}
