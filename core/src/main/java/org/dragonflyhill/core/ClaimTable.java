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

  private final Map<ClaimEvent.RequestKey, Entry> entries = new LinkedHashMap<>();
  private long throughOffset = -1;

  /** Folds one event; an offset that was folded before changes nothing. */
  public void apply(long offset, ClaimEvent event) {
    if (offset <= throughOffset) {
      return;
    }
    throughOffset = offset;
    switch (event) {
      case ClaimEvent.Claimed claimed -> entries.putIfAbsent(claimed.key(), Entry.of(claimed));
      case ClaimEvent.Settled settled -> settle(settled);
      case ClaimEvent.Released released -> release(released);
      case ClaimEvent.Resolved resolved -> resolve(resolved);
    }
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

  private void settle(ClaimEvent.Settled settled) {
    current(settled)
        .filter(entry -> entry.outcome().isEmpty())
        .ifPresent(
            entry ->
                entries.put(
                    settled.key(),
                    entry.withOutcome(new Outcome.Ran(settled.status(), settled.answer()))));
  }

  private void release(ClaimEvent.Released released) {
    current(released)
        .filter(entry -> entry.outcome().isEmpty())
        .ifPresent(entry -> entries.remove(released.key()));
  }

  private void resolve(ClaimEvent.Resolved resolved) {
    Optional<Entry> open = current(resolved).filter(entry -> entry.outcome().isEmpty());
    if (open.isEmpty()) {
      return;
    }
    if (resolved.executed()) {
      Outcome outcome = new Outcome.ResolvedAsRun(resolved.operator());
      entries.put(resolved.key(), open.get().withOutcome(outcome));
    } else {
      entries.remove(resolved.key());
    }
  }

  private Optional<Entry> current(ClaimEvent event) {
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
   * @param outcome what became of it; empty while unknown
   */
  public record Entry(
      ClaimEvent.RequestKey key,
      String claimId,
      String node,
      String requestDigest,
      long atMillis,
      Optional<Outcome> outcome) {

    static Entry of(ClaimEvent.Claimed claimed) {
      return new Entry(
          claimed.key(),
          claimed.claimId(),
          claimed.node(),
          claimed.requestDigest(),
          claimed.atMillis(),
          Optional.empty());
    }

    Entry withOutcome(Outcome known) {
      return new Entry(key, claimId, node, requestDigest, atMillis, Optional.of(known));
    }
  }

  /** What became of a claimed request. Immutable and thread-safe. */
  public sealed interface Outcome {

    /**
     * It ran and this is the answer.
     *
     * @param status HTTP status
     * @param answer body
     */
    record Ran(int status, String answer) implements Outcome {}

    /**
     * An operator found that it ran; its answer is lost.
     *
     * @param operator who found out
     */
    record ResolvedAsRun(String operator) implements Outcome {}
  }
}
