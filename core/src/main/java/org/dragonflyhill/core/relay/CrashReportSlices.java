package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Spreads what a node tells of crashes over several rounds of reports to its peers. After many
 * runners have ended at once, telling everything in each report would fill the nodes' links.
 *
 * <p>What is new is told first, the suspects with the most crashes before the others, and then what
 * was not told for longest. Not thread-safe; no argument may be null.
 */
public final class CrashReportSlices {

  /** Approximate maximum length of a slice, by which a report fits into one frame. */
  static final int MAX_BYTES = 700;

  /** Approximate length of an age or a number in a report. */
  private static final int NUMBER_BYTES = 4;

  private final Map<Item, Told> told = new HashMap<>();
  private long round = -1;
  private Set<Item> selected = Set.of();

  /**
   * Returns the part of a report that is told in a round.
   *
   * @param whole everything that there is to tell now
   * @param currentRound number of the round, in which each peer gets one report
   */
  public CrashReport slice(CrashReport whole, long currentRound) {
    if (currentRound != round) {
      round = currentRound;
      select(whole);
    }
    return new CrashReport(
        retain(whole.crashes(), false),
        retain(whole.sentRequests(), false),
        retain(whole.soundAnswers(), true));
  }

  private <V> Map<String, V> retain(Map<String, V> entries, boolean isSoundAnswer) {
    Map<String, V> retained = new HashMap<>(entries);
    retained.keySet().removeIf(key -> !selected.contains(new Item(key, isSoundAnswer)));
    return retained;
  }

  private void select(CrashReport whole) {
    List<Candidate> candidates = new ArrayList<>();
    whole.crashes().forEach((key, crashes) -> candidates.add(crashCandidate(whole, key, crashes)));
    whole.soundAnswers().keySet().forEach(key -> candidates.add(soundAnswerCandidate(key)));
    candidates.sort(Candidate.MOST_URGENT_FIRST);
    selected = new HashSet<>();
    int bytes = 0;
    for (Candidate candidate : candidates) {
      bytes += candidate.bytes();
      if (bytes > MAX_BYTES && !selected.isEmpty()) {
        break;
      }
      selected.add(candidate.item());
    }
    Map<Item, Told> before = new HashMap<>(told);
    told.clear();
    for (Candidate candidate : candidates) {
      if (selected.contains(candidate.item())) {
        told.put(candidate.item(), new Told(round, candidate.crashes()));
      } else if (before.containsKey(candidate.item())) {
        told.put(candidate.item(), before.get(candidate.item()));
      }
    }
  }

  private Candidate crashCandidate(CrashReport whole, String key, Map<String, Duration> crashes) {
    Set<String> sent = whole.sentRequests().getOrDefault(key, Map.of()).keySet();
    int bytes = key.length() + NUMBER_BYTES;
    for (String crash : crashes.keySet()) {
      bytes += (crash.length() + NUMBER_BYTES) * (sent.contains(crash) ? 2 : 1);
    }
    return candidate(new Item(key, false), crashes.keySet(), bytes);
  }

  private Candidate soundAnswerCandidate(String key) {
    return candidate(new Item(key, true), Set.of(), key.length() + NUMBER_BYTES);
  }

  private Candidate candidate(Item item, Set<String> crashes, int bytes) {
    Told last = told.get(item);
    boolean isNew = last == null || !last.crashes().equals(crashes);
    return new Candidate(item, crashes, bytes, isNew, last == null ? -1 : last.round());
  }

  /** A suspect of which crashes or a sound answer are told. */
  private record Item(String key, boolean isSoundAnswer) {}

  /** What was last told of an item, and when. */
  private record Told(long round, Set<String> crashes) {}

  private record Candidate(
      Item item, Set<String> crashes, int bytes, boolean isNew, long toldInRound) {

    private static final Comparator<Candidate> MOST_URGENT_FIRST =
        Comparator.comparing(Candidate::isNew)
            .reversed()
            .thenComparing(each -> each.isNew() ? -each.crashes().size() : each.toldInRound())
            .thenComparing(each -> each.item().key());
  }
}
