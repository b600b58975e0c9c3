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
 * Prompt parts and requests under which runners crashed while they began an answer, as seen by all
 * nodes. A request is known by its {@link RequestFingerprint}, since it comes again under other
 * ids.
 *
 * <p>A crash makes every request suspect that the runner had just begun to answer, and every part
 * of their prompts. Since sound requests were there too, and share parts with the one that caused
 * it, an answer that is sound clears its request and its parts of all crashes before it began. A
 * suspect with several crashes since, which did not all come at once, is blocked until they are
 * old.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class CrashSuspects {

  /** Number of crashes without a sound answer since from which a suspect is blocked. */
  public static final int BLOCKING_CRASHES = 3;

  /**
   * Minimum time from the first to the last of these crashes, unless a request was sent to each
   * runner after the one before had crashed under it. Runners that end together, with their rack
   * for example, say nothing of what they were about to answer.
   */
  public static final Duration BLOCKING_SPAN = Duration.ofMillis(600);

  /** Time after which a crash is forgotten. */
  public static final Duration CRASH_MEMORY = Duration.ofMinutes(10);

  /** Maximum number of suspects that are remembered. */
  static final int MAX_SUSPECTS = 512;

  /**
   * Maximum number of crashes that are remembered for a suspect: the oldest and the newest ones.
   */
  static final int MAX_CRASHES_PER_SUSPECT = 16;

  /** Maximum number of suspect parts, of suspect requests, and of cleared suspects in a report. */
  static final int MAX_REPORTED_SUSPECTS = 32;

  /** Maximum number of crashes of a suspect in a report: the oldest and the newest ones. */
  private static final int MAX_REPORTED_CRASHES = 4;

  /**
   * Time for which a suspect with a single crash is reported. Most of them were only by chance at a
   * runner that crashed.
   */
  static final Duration SINGLE_CRASH_REPORTING = Duration.ofSeconds(10);

  /** Time for which a sound answer is reported after it cleared a crash, also one of a peer. */
  private static final Duration SOUND_ANSWER_REPORTING = Duration.ofSeconds(3);

  /** Prefix of the keys of requests. The keys of parts contain a slash. */
  private static final String REQUEST_PREFIX = "request:";

  private static final Comparator<Suspect> MOST_SUSPECT_FIRST =
      Comparator.comparingInt(Suspect::crashCount).thenComparing(Suspect::newestCrash).reversed();

  private final Map<String, Suspect> suspects = new HashMap<>();

  /** When the newest sound answers began, by suspect, those recorded last at the end. */
  private final Map<String, Instant> soundAnswers = new LinkedHashMap<>();

  /** Returns the key of a request with a fingerprint. */
  public static String requestKey(String fingerprint) {
    return REQUEST_PREFIX + fingerprint;
  }

  /** Returns whether a key is that of a request and not of a part of a prompt. */
  public static boolean isRequest(String key) {
    return key.startsWith(REQUEST_PREFIX);
  }

  /** Returns whether nothing is suspect, or was lately. */
  public boolean isEmpty() {
    return suspects.isEmpty();
  }

  /** Returns whether a runner has crashed under a part or request without a sound answer since. */
  public boolean isSuspect(String key) {
    return Optional.ofNullable(suspects.get(key))
        .filter(suspect -> suspect.crashCount() > 0)
        .isPresent();
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
   * Records that a runner crashed which had just begun to run a request, or was about to.
   *
   * @param crash identifier of the crash, equal for all nodes that see it
   * @param request key of the request
   * @param sentAt when the request was sent to the runner
   * @param at when the runner crashed
   */
  public void recordRequestCrash(String crash, String request, Instant sentAt, Instant at) {
    Suspect suspect = suspect(request);
    suspect.addCrash(crash, at);
    suspect.addSentRequest(crash, sentAt);
    removeExcess();
  }

  /**
   * Records an answer that its runner completed or went on with for a while.
   *
   * @param keys shared parts of its prompt, and the key of the request if it is suspect
   * @param begunAt when the answer began
   */
  public void recordSoundAnswer(Collection<String> keys, Instant begunAt) {
    for (String key : keys) {
      Instant known = soundAnswers.remove(key);
      soundAnswers.put(key, known == null ? begunAt : later(known, begunAt));
      Suspect suspect = suspects.get(key);
      if (suspect != null) {
        suspect.recordSoundAnswer(begunAt);
      }
    }
    while (soundAnswers.size() > MAX_SUSPECTS) {
      soundAnswers.remove(soundAnswers.keySet().iterator().next());
    }
  }

  /**
   * Returns the first of the keys of a request and its prompt's parts for which it is blocked. A
   * suspect that was in no crash without a certain other blocked one does not block requests that
   * lack the other: they show which of the two is bad.
   */
  public Optional<String> blockedSuspect(Collection<String> keys, Instant now) {
    return keys.stream().filter(key -> isBlocked(key, keys, now)).findFirst();
  }

  private boolean isBlocked(String key, Collection<String> keys, Instant now) {
    Suspect suspect = suspects.get(key);
    if (suspect == null) {
      return false;
    }
    suspect.forgetCrashes(now);
    return suspect.isBlocked()
        && suspects.entrySet().stream()
            .filter(other -> other.getValue().isBlocked() && !keys.contains(other.getKey()))
            .noneMatch(other -> other.getValue().hasCrashesOf(suspect));
  }

  /** Returns what this node knows, for its peers. Crashes that others have told are included. */
  public CrashReport report(Instant now) {
    removeForgotten(now);
    Map<String, Map<String, Duration>> crashes = new HashMap<>();
    Map<String, Map<String, Duration>> sentRequests = new HashMap<>();
    Map<String, Duration> answerAges = new HashMap<>();
    List<Map.Entry<String, Suspect>> sorted =
        suspects.entrySet().stream()
            .sorted(Map.Entry.comparingByValue(MOST_SUSPECT_FIRST))
            .toList();
    for (Map.Entry<String, Suspect> entry : sorted) {
      Suspect suspect = entry.getValue();
      boolean isRequest = isRequest(entry.getKey());
      int reported = isRequest ? sentRequests.size() : crashes.size() - sentRequests.size();
      if (suspect.isReportable(now) && reported < MAX_REPORTED_SUSPECTS) {
        crashes.put(entry.getKey(), suspect.crashAges(now));
        if (isRequest) {
          sentRequests.put(entry.getKey(), suspect.sentRequestAges(now));
        }
      }
      if (suspect.isSoundAnswerMissedByPeer(now) && answerAges.size() < MAX_REPORTED_SUSPECTS) {
        answerAges.put(entry.getKey(), Duration.between(suspect.ownSoundAnswer, now));
      }
    }
    return new CrashReport(crashes, sentRequests, answerAges);
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
        .sentRequests()
        .forEach(
            (request, ages) ->
                ages.forEach(
                    (crash, age) -> suspect(request).addSentRequest(crash, now.minus(age))));
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

  private Suspect suspect(String key) {
    return suspects.computeIfAbsent(
        key, any -> new Suspect(soundAnswers.getOrDefault(key, Instant.MIN)));
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
    if (suspects.size() > MAX_SUSPECTS) {
      suspects.entrySet().stream()
          .sorted(Map.Entry.comparingByValue(MOST_SUSPECT_FIRST))
          .skip(MAX_SUSPECTS)
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

    /** When a suspect request was last sent to the runner, by crash; empty for a part. */
    private final Map<String, Instant> sentRequests = new HashMap<>();

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
          && (successiveCrashes() >= BLOCKING_CRASHES
              || Duration.between(oldestCrash(), newestCrash()).compareTo(BLOCKING_SPAN) >= 0);
    }

    /**
     * Returns the number of crashes of runners to which the request was sent after the crash before
     * had happened, so that these are not crashes of runners that ended together.
     */
    private int successiveCrashes() {
      int count = 0;
      Instant last = Instant.MIN;
      for (Map.Entry<String, Instant> crash : openCrashesByTime()) {
        Instant sentAt = sentRequests.getOrDefault(crash.getKey(), Instant.MIN);
        if (count == 0 || !sentAt.isBefore(last)) {
          count++;
          last = crash.getValue();
        }
      }
      return count;
    }

    private List<Map.Entry<String, Instant>> openCrashesByTime() {
      return crashes.entrySet().stream()
          .filter(crash -> isOpen(crash.getValue()))
          .sorted(Map.Entry.comparingByValue())
          .toList();
    }

    void addSentRequest(String crash, Instant at) {
      if (crashes.containsKey(crash)) {
        sentRequests.merge(crash, at, CrashSuspects::later);
      }
      sentRequests.keySet().retainAll(crashes.keySet());
    }

    Map<String, Duration> sentRequestAges(Instant now) {
      return reportedCrashes().stream()
          .filter(crash -> sentRequests.containsKey(crash.getKey()))
          .collect(
              Collectors.toMap(
                  Map.Entry::getKey,
                  crash -> Duration.between(sentRequests.get(crash.getKey()), now)));
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
      if (crashes.size() > MAX_CRASHES_PER_SUSPECT) {
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

    private List<Map.Entry<String, Instant>> reportedCrashes() {
      List<Map.Entry<String, Instant>> sorted = openCrashesByTime();
      int skipped = Math.max(0, sorted.size() - MAX_REPORTED_CRASHES);
      return skipped == 0
          ? sorted
          : Stream.concat(sorted.stream().limit(1), sorted.stream().skip(skipped + 1)).toList();
    }

    /** Returns the ages of the crashes in a report, none of which a sound answer has cleared. */
    Map<String, Duration> crashAges(Instant now) {
      return reportedCrashes().stream()
          .collect(
              Collectors.toMap(
                  Map.Entry::getKey, crash -> Duration.between(crash.getValue(), now)));
    }
  }
}
