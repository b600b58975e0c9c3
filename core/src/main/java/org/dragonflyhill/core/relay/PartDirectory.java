package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Which runner or store holds which parts of prompts, as far as events and answers tell.
 *
 * <p>Parts are told apart by a salt (model, weight version, organisation where it is isolated) and
 * an id. Entries may be wrong; that costs time, never correctness.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class PartDirectory {

  /** How long a part that a runner was just told to read counts as held there. */
  public static final Duration EXPECTATION_TTL = Duration.ofSeconds(2);

  /** Silence of a holder after which what is known of it is not relied upon. */
  public static final Duration FRESHNESS_TIMEOUT = Duration.ofMillis(1_600);

  private final Map<Endpoint, Map<Key, Integer>> tokensByHolder = new HashMap<>();
  private final Map<Endpoint, Map<Key, Instant>> expected = new HashMap<>();
  private final Map<Endpoint, Long> totals = new HashMap<>();
  private final Map<Endpoint, Instant> updatedAt = new HashMap<>();

  /** Notes how many tokens of a part a holder has now; 0 drops the part. */
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

  /** Forgets all that is known of a holder. */
  public void forget(Endpoint holder) {
    tokensByHolder.remove(holder);
    expected.remove(holder);
    totals.remove(holder);
    updatedAt.remove(holder);
  }

  /** Notes that a holder told all of its changes up to now. */
  public void markFresh(Endpoint holder, Instant now) {
    updatedAt.put(holder, now);
  }

  /** Returns whether a holder told of its changes lately, so that what is known of it holds. */
  public boolean isFresh(Endpoint holder, Instant now) {
    Instant at = updatedAt.get(holder);
    return at != null && Duration.between(at, now).compareTo(FRESHNESS_TIMEOUT) <= 0;
  }

  /** Notes that a runner was told to read or fetch these parts. */
  public void expect(Endpoint runner, String salt, List<Prompt.Part> parts, Instant now) {
    Map<Key, Instant> soon = expected.computeIfAbsent(runner, any -> new HashMap<>());
    parts.forEach(part -> soon.put(new Key(salt, part.id()), now.plus(EXPECTATION_TTL)));
  }

  /** Drops expectations that have passed. */
  public void expireExpectations(Instant now) {
    expected.values().forEach(parts -> parts.values().removeIf(until -> until.isBefore(now)));
  }

  /** Returns the tokens of a part that a holder is known to have. */
  public int tokens(Endpoint holder, String salt, String part) {
    Map<Key, Integer> parts = tokensByHolder.get(holder);
    return parts == null ? 0 : parts.getOrDefault(new Key(salt, part), 0);
  }

  /** Returns whether a holder is known to have a whole part. */
  public boolean holds(Endpoint holder, String salt, Prompt.Part part) {
    return tokens(holder, salt, part.id()) >= part.tokens();
  }

  /** Returns the number of leading parts that a runner has or will soon have. */
  public int leadingParts(Endpoint runner, String salt, List<Prompt.Part> parts, Instant now) {
    Map<Key, Instant> soon = expected.getOrDefault(runner, Map.of());
    int leading = 0;
    for (Prompt.Part part : parts) {
      Instant until = soon.get(new Key(salt, part.id()));
      boolean isExpected = until != null && now.isBefore(until);
      if (!isExpected && !holds(runner, salt, part)) {
        break;
      }
      leading++;
    }
    return leading;
  }

  /** Returns the tokens that a holder is known to have. */
  public long totalTokens(Endpoint holder) {
    return totals.getOrDefault(holder, 0L);
  }

  /** Returns the parts that a holder has under some salts. */
  public List<Key> partsWithSalt(Endpoint holder, Predicate<String> isWanted) {
    return tokensByHolder.getOrDefault(holder, Map.of()).keySet().stream()
        .filter(key -> isWanted.test(key.salt()))
        .toList();
  }

  /**
   * Names a part.
   *
   * @param salt what the part was made for
   * @param part its id
   */
  public record Key(String salt, String part) {}
}
