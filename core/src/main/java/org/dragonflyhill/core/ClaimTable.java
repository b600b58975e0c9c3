package org.dragonflyhill.core;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the claims on non-repeatable requests. Of several claims on one request, the first in log
 * order that has been neither released nor expired may run it.
 *
 * <pre>{@code
 * ClaimTable table = new ClaimTable();
 * table.apply(offset, claimed);
 * boolean won = table.entry(key).orElseThrow().claimId().equals(claimId);
 * }</pre>
 *
 * <p>Not thread-safe; callers must synchronize access. No argument may be null.
 */
public final class ClaimTable {

  private final ClaimWindow window;
  private final ClaimClock clock = new ClaimClock();
  private final Map<ClaimEvent.RequestKey, Entry> entries = new LinkedHashMap<>();
  private long throughOffset = -1;
  private long expiredUnknownCount;

  /** Creates an empty table with {@link ClaimWindow#DEFAULT}. */
  public ClaimTable() {
    this(ClaimWindow.DEFAULT);
  }

  /** Creates an empty table. */
  public ClaimTable(ClaimWindow window) {
    this.window = window;
  }

  /** Applies an event. Has no effect if the offset was already processed. */
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

  /**
   * Marks all records up to an offset as processed without applying them, for records that are
   * unreadable or no longer in the log.
   */
  public void skip(long offset) {
    throughOffset = Math.max(throughOffset, offset);
  }

  /** Returns whether a duplicate of the request still gets the outcome of the original. */
  public boolean isWithinReplayPeriod(Entry entry) {
    return age(entry) <= window.replayPeriod().toMillis();
  }

  /** Returns the number of claims that expired while their outcome was unknown. */
  public long expiredUnknownCount() {
    return expiredUnknownCount;
  }

  /** Returns the offset of the last processed record, or -1 if there is none. */
  public long throughOffset() {
    return throughOffset;
  }

  /** Returns the entry of a request, if it has one. */
  public Optional<Entry> entry(ClaimEvent.RequestKey key) {
    return Optional.ofNullable(entries.get(key));
  }

  /** Returns all entries, ordered by the latest claim on their key, oldest first. */
  public Collection<Entry> entries() {
    return Collections.unmodifiableCollection(entries.values());
  }

  private void claim(ClaimEvent.Claimed claimed) {
    clock.observe(claimed.node(), claimed.atMillis());
    removeExpired();
    // A repeated claim restarts the retention of its key. Thus of two claims within one retention
    // period the second never wins, even if nodes removed an older entry of the key at different
    // times. Retention starts at the latest claim time and not at the clock's time, because the
    // clock stands still while only one node makes claims. The entry would expire too early when
    // the clock catches up.
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
   * The winning claim on a request and its outcome.
   *
   * @param key key of the request
   * @param claimId id of the winning claim
   * @param node name of the node that made the claim
   * @param requestDigest digest of the request
   * @param atMillis time of the claim, milliseconds since the epoch
   * @param seenMillis highest claim time in the stream when the key was last claimed, milliseconds
   *     since the epoch; the retention period starts here
   * @param outcome outcome of the request; empty while it is unknown
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

    /** Returns a copy of this entry with the given outcome. */
    public Entry withOutcome(Outcome known) {
      return new Entry(key, claimId, node, requestDigest, atMillis, seenMillis, Optional.of(known));
    }

    Entry withSeenMillis(long millis) {
      return new Entry(key, claimId, node, requestDigest, atMillis, millis, outcome);
    }
  }

  /** The outcome of a claimed request. Immutable and thread-safe. */
  public sealed interface Outcome {

    /**
     * The request ran and its response is known.
     *
     * @param status HTTP status of the response
     * @param answer response body; empty if it was too large to store
     * @param answerDigest digest of the response body
     */
    record Ran(int status, Optional<String> answer, String answerDigest) implements Outcome {

      /** Returns the outcome that an event reports. */
      public static Ran of(ClaimEvent.Settled settled) {
        return new Ran(settled.status(), settled.answer(), settled.answerDigest());
      }
    }

    /**
     * An operator determined that the request ran; its response is lost.
     *
     * @param operator name of the operator
     */
    record ResolvedAsRun(String operator) implements Outcome {}
  }
}
