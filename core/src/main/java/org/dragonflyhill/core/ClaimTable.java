package org.dragonflyhill.core;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which claim on a non-repeatable request may run it: the first live one in log order.
 *
 * <pre>{@code
 * ClaimTable table = new ClaimTable();
 * table.apply(offset, claimed);
 * boolean mine = table.entry(key).orElseThrow().claimId().equals(claimId);
 * }</pre>
 *
 * <p>Not thread-safe; its owner guards it. No argument may be null.
 */
public final class ClaimTable {

  private final ClaimWindow window;
  private final ClaimClock clock = new ClaimClock();
  private final Map<ClaimEvent.RequestKey, Entry> entries = new LinkedHashMap<>();
  private long throughOffset = -1;
  private long expiredUnknownCount;

  /** Creates an empty table with the window of the product. */
  public ClaimTable() {
    this(ClaimWindow.DEFAULT);
  }

  /** Creates an empty table. */
  public ClaimTable(ClaimWindow window) {
    this.window = window;
  }

  /** Folds one event; an offset that was folded before changes nothing. */
  public void apply(long offset, ClaimEvent event) {
    if (offset <= throughOffset) {
      return;
    }
    throughOffset = offset;
    switch (event) {
      case ClaimEvent.Claimed claimed -> claim(claimed);
      case ClaimEvent.Settled settled -> settle(settled);
      case ClaimEvent.Released released -> release(released);
      case ClaimEvent.Resolved resolved -> resolve(resolved);
    }
  }

  /** Passes over a record that no node can read. */
  public void skip(long offset) {
    throughOffset = Math.max(throughOffset, offset);
  }

  /** Returns whether a copy of the request still gets the outcome of the first one. */
  public boolean isWithinReplayPeriod(Entry entry) {
    return age(entry) <= window.replayPeriod().toMillis();
  }

  /** Returns how many claims were forgotten though nobody had found out their outcome. */
  public long expiredUnknownCount() {
    return expiredUnknownCount;
  }

  /** Returns the offset of the last folded event, -1 where there is none. */
  public long throughOffset() {
    return throughOffset;
  }

  /** Finds the entry of a request. */
  public Optional<Entry> entry(ClaimEvent.RequestKey key) {
    return Optional.ofNullable(entries.get(key));
  }

  /** Returns all entries, oldest first. */
  public Collection<Entry> entries() {
    return Collections.unmodifiableCollection(entries.values());
  }

  private void claim(ClaimEvent.Claimed claimed) {
    clock.observe(claimed.node(), claimed.atMillis());
    removeExpired();
    // A later claim on a known key restarts its window. So of two claims within one window the
    // second never wins, even on a node that forgot or kept an older entry longer than others.
    // The latest time counts from here on: while few nodes claim, the time of the stream stands.
    Entry entry =
        Optional.ofNullable(entries.remove(claimed.key())).orElseGet(() -> Entry.of(claimed));
    entries.put(claimed.key(), entry.withSeenMillis(clock.latestMillis()));
  }

  private void removeExpired() {
    var oldestFirst = entries.values().iterator();
    while (oldestFirst.hasNext()) {
      Entry entry = oldestFirst.next();
      if (age(entry) <= window.retentionPeriod().toMillis()) {
        return;
      }
      if (entry.outcome().isEmpty()) {
        expiredUnknownCount++;
      }
      oldestFirst.remove();
    }
  }

  private long age(Entry entry) {
    return clock.millis() - entry.seenMillis();
  }

  private void settle(ClaimEvent.Settled settled) {
    entryOfClaim(settled)
        .filter(entry -> entry.outcome().isEmpty())
        .ifPresent(entry -> entries.put(settled.key(), entry.withOutcome(Outcome.Ran.of(settled))));
  }

  private void release(ClaimEvent.Released released) {
    entryOfClaim(released)
        .filter(entry -> entry.outcome().isEmpty())
        .ifPresent(entry -> entries.remove(released.key()));
  }

  private void resolve(ClaimEvent.Resolved resolved) {
    Optional<Entry> unresolved = entryOfClaim(resolved).filter(entry -> entry.outcome().isEmpty());
    if (unresolved.isEmpty()) {
      return;
    }
    if (resolved.executed()) {
      Outcome outcome = new Outcome.ResolvedAsRun(resolved.operator());
      entries.put(resolved.key(), unresolved.get().withOutcome(outcome));
    } else {
      entries.remove(resolved.key());
    }
  }

  private Optional<Entry> entryOfClaim(ClaimEvent event) {
    return entry(event.key()).filter(entry -> entry.claimId().equals(event.claimId()));
  }

  /**
   * The live claim on a request and its outcome.
   *
   * @param key the request
   * @param claimId id of the claim that won
   * @param node node that claimed
   * @param requestDigest digest of the request
   * @param atMillis time of the claim, milliseconds since the epoch
   * @param seenMillis latest time in the stream when the key was last claimed; its window starts
   *     there
   * @param outcome what became of it; empty while unknown
   */
  public record Entry(
      ClaimEvent.RequestKey key,
      String claimId,
      String node,
      String requestDigest,
      long atMillis,
      long seenMillis,
      Optional<Outcome> outcome) {

    static Entry of(ClaimEvent.Claimed claimed) {
      return new Entry(
          claimed.key(),
          claimed.claimId(),
          claimed.node(),
          claimed.requestDigest(),
          claimed.atMillis(),
          claimed.atMillis(),
          Optional.empty());
    }

    /** Returns the same claim with its outcome. */
    public Entry withOutcome(Outcome known) {
      return new Entry(key, claimId, node, requestDigest, atMillis, seenMillis, Optional.of(known));
    }

    Entry withSeenMillis(long millis) {
      return new Entry(key, claimId, node, requestDigest, atMillis, millis, outcome);
    }
  }

  /** What became of a claimed request. Immutable and thread-safe. */
  public sealed interface Outcome {

    /**
     * It ran and this is the answer.
     *
     * @param status HTTP status
     * @param answer body; empty where it was too large to be kept
     * @param answerDigest digest of the body
     */
    record Ran(int status, Optional<String> answer, String answerDigest) implements Outcome {

      /** Returns the outcome that an event tells. */
      public static Ran of(ClaimEvent.Settled settled) {
        return new Ran(settled.status(), settled.answer(), settled.answerDigest());
      }
    }

    /**
     * An operator found that it ran; its answer is lost.
     *
     * @param operator who found out
     */
    record ResolvedAsRun(String operator) implements Outcome {}
  }
}
