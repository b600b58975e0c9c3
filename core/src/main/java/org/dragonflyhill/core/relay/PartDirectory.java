package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Directory of the runners and stores that hold the KV cache of prompt parts, built from their
 * cache events and their answers to calls. Runners and stores are called holders here.
 *
 * <p>A part is identified by its id and a salt, which names the model, the weight version and, if
 * it is isolated, the organisation. Entries may be out of date; that costs time, never correctness.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class PartDirectory {

  /** Time for which a part counts as held by a runner to which a request with it was just sent. */
  public static final Duration EXPECTATION_TTL = Duration.ofSeconds(2);

  /** Time since a holder's last report after which its entries are not relied on. */
  public static final Duration FRESHNESS_TIMEOUT = Duration.ofMillis(1_600);

  private final Map<Endpoint, Map<Key, Integer>> tokensByHolder = new HashMap<>();
  private final Map<Endpoint, Map<Key, Instant>> expected = new HashMap<>();
  private final Map<Endpoint, Long> totals = new HashMap<>();
  private final Map<Endpoint, Instant> updatedAt = new HashMap<>();

  /** Sets the number of tokens of a part that a holder has; 0 removes the part. */
  public void setTokens(Endpoint holder, String salt, String part, int tokens) {
    Map<Key, Integer> parts = tokensByHolder.computeIfAbsent(holder, any -> new HashMap<>());
    Key key = new Key(salt, part);
    Integer before;
    if (tokens > 0) {
      before = parts.put(key, tokens);
    } else {
      before = parts.remove(key);
      expected.getOrDefault(holder, new HashMap<>()).remove(key);
    }
    totals.merge(holder, (long) tokens - (before == null ? 0 : before), Long::sum);
  }

  /** Applies a change that this node or a peer has read. */
  public void apply(PartChange change, Instant now) {
    switch (change) {
      case PartChange.Cleared cleared -> forget(cleared.holder());
      case PartChange.Stored stored ->
          setTokens(stored.holder(), stored.salt(), stored.part(), stored.tokens());
      case PartChange.Expected part ->
          expected
              .computeIfAbsent(part.holder(), any -> new HashMap<>())
              .put(new Key(part.salt(), part.part()), now.plus(EXPECTATION_TTL));
    }
  }

  /** Returns the changes that lead from an unknown holder to its present entries. */
  public List<PartChange> contents(Endpoint holder) {
    List<PartChange> changes = new ArrayList<>();
    changes.add(new PartChange.Cleared(holder));
    tokensByHolder
        .getOrDefault(holder, Map.of())
        .forEach(
            (key, tokens) ->
                changes.add(new PartChange.Stored(holder, key.salt(), key.part(), tokens)));
    return changes;
  }

  /** Removes all entries of a holder. */
  public void forget(Endpoint holder) {
    tokensByHolder.remove(holder);
    expected.remove(holder);
    totals.remove(holder);
    updatedAt.remove(holder);
  }

  /** Records that the entries of a holder were up to date at a time. */
  public void markFresh(Endpoint holder, Instant at) {
    updatedAt.merge(holder, at, (known, other) -> other.isAfter(known) ? other : known);
  }

  /** Returns the time at which the entries of a holder were last up to date. */
  public Optional<Instant> updatedAt(Endpoint holder) {
    return Optional.ofNullable(updatedAt.get(holder));
  }

  /** Returns whether a holder has reported its changes recently enough to rely on its entries. */
  public boolean isFresh(Endpoint holder, Instant now) {
    Instant at = updatedAt.get(holder);
    return at != null && Duration.between(at, now).compareTo(FRESHNESS_TIMEOUT) <= 0;
  }

  /**
   * Records that a runner was sent a request for which it will prefill or fetch these parts.
   * Returns the changes that are new, for other nodes.
   */
  public List<PartChange> expect(
      Endpoint runner, String salt, List<Prompt.Part> parts, Instant now) {
    List<PartChange> changes = new ArrayList<>();
    for (Prompt.Part part : parts) {
      boolean isKnown = holds(runner, salt, part) || isExpected(runner, salt, part, now);
      PartChange change = new PartChange.Expected(runner, salt, part.id());
      apply(change, now);
      if (!isKnown) {
        changes.add(change);
      }
    }
    return changes;
  }

  private boolean isExpected(Endpoint runner, String salt, Prompt.Part part, Instant now) {
    Instant until = expected.getOrDefault(runner, Map.of()).get(new Key(salt, part.id()));
    return until != null && now.isBefore(until);
  }

  /** Removes expected parts whose time is over. */
  public void expireExpectations(Instant now) {
    expected.values().forEach(parts -> parts.values().removeIf(until -> until.isBefore(now)));
  }

  /** Returns the number of tokens of a part that a holder is known to have. */
  public int tokens(Endpoint holder, String salt, String part) {
    Map<Key, Integer> parts = tokensByHolder.get(holder);
    return parts == null ? 0 : parts.getOrDefault(new Key(salt, part), 0);
  }

  /** Returns whether a holder is known to have all tokens of a part. */
  public boolean holds(Endpoint holder, String salt, Prompt.Part part) {
    return tokens(holder, salt, part.id()) >= part.tokens();
  }

  /** Returns the number of leading parts that a runner has or is expected to have soon. */
  public int leadingParts(Endpoint runner, String salt, List<Prompt.Part> parts, Instant now) {
    int leading = 0;
    for (Prompt.Part part : parts) {
      if (!isExpected(runner, salt, part, now) && !holds(runner, salt, part)) {
        break;
      }
      leading++;
    }
    return leading;
  }

  /** Returns the total number of tokens that a holder is known to have. */
  public long totalTokens(Endpoint holder) {
    return totals.getOrDefault(holder, 0L);
  }

  /** Returns the parts of a holder whose salt matches a predicate. */
  public List<Key> partsWithSalt(Endpoint holder, Predicate<String> saltFilter) {
    return tokensByHolder.getOrDefault(holder, Map.of()).keySet().stream()
        .filter(key -> saltFilter.test(key.salt()))
        .toList();
  }

  /**
   * Identifies a part.
   *
   * @param salt salt of the part: model, weight version and isolated organisation
   * @param part id of the part
   */
  public record Key(String salt, String part) {

    @Override
    public boolean equals(Object other) {
      // Written out, since the generated method is several times slower without the C2 compiler,
      // which nodes do not use.
      return other instanceof Key key && part.equals(key.part) && salt.equals(key.salt);
    }

    @Override
    public int hashCode() {
      return 31 * salt.hashCode() + part.hashCode();
    }
  }
}
