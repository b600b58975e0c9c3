package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which pieces are worth a copy in a store: those whose expected saving of prefill is more
 * than the link time of writing them and reading them back.
 *
 * <p>The chance that a piece returns is learned for each group, such as an organisation and task. A
 * return sooner than {@link #MIN_GAP} teaches nothing, since the runner still has the piece then.
 * Memory is bounded: the groups and pieces seen least recently are forgotten.
 *
 * <pre>{@code
 * policy.seen(group, pieceId, now);
 * if (policy.isWorthKeeping(group, cost)) {
 *   export(piece);
 * }
 * }</pre>
 *
 * <p>Not thread-safe; its owner guards it. No argument may be null.
 */
public final class KeepPolicy {

  /** Shortest gap that counts as a return. */
  public static final Duration MIN_GAP = Duration.ofMinutes(1);

  /** Longest gap that counts as a return. */
  public static final Duration MAX_GAP = Duration.ofDays(7);

  private static final int MAX_GROUPS = 4_096;
  private static final int MAX_PIECES = 65_536;

  /** At this many pieces the counts of a group are halved, so that it follows changes. */
  private static final int MAX_COUNT = 4_096;

  private static final double PRIOR_RETURNED = 1;
  private static final double PRIOR_SEEN = 2;

  private final Map<String, Counts> groups = bounded(MAX_GROUPS);
  private final Map<Long, Instant> lastSeen = bounded(MAX_PIECES);

  /** Notes that a piece was part of a request. */
  public void seen(String group, String pieceId, Instant now) {
    Counts counts = groups.getOrDefault(group, new Counts(0, 0));
    Instant last = lastSeen.put(PieceIndex.fingerprint(pieceId), now);
    if (last == null) {
      groups.put(group, counts.plus(1, 0));
    } else if (isReturn(Duration.between(last, now))) {
      groups.put(group, counts.plus(1, 1));
    }
  }

  /** Returns the learned chance that a piece of a group returns. */
  public double returnChance(String group) {
    Counts counts = groups.getOrDefault(group, new Counts(0, 0));
    return (counts.returned + PRIOR_RETURNED) / (counts.seen + PRIOR_SEEN);
  }

  /** Returns whether a piece is worth its transfers. */
  public boolean isWorthKeeping(String group, Cost cost) {
    double chance = returnChance(group);
    double savedSeconds = chance * cost.tokens() / cost.prefillTokensPerSecond();
    double transferSeconds = (double) cost.bytes() / cost.linkBytesPerSecond();
    return savedSeconds > transferSeconds * (1 + chance);
  }

  private static boolean isReturn(Duration gap) {
    return gap.compareTo(MIN_GAP) >= 0 && gap.compareTo(MAX_GAP) <= 0;
  }

  private static <K, V> Map<K, V> bounded(int limit) {
    return new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > limit;
      }
    };
  }

  /**
   * What a piece costs.
   *
   * @param tokens its tokens
   * @param bytes its bytes of KV cache
   * @param prefillTokensPerSecond tokens that a runner computes a second
   * @param linkBytesPerSecond bandwidth between runner and store
   */
  public record Cost(
      long tokens, long bytes, long prefillTokensPerSecond, long linkBytesPerSecond) {}

  private record Counts(int seen, int returned) {

    Counts plus(int moreSeen, int moreReturned) {
      Counts sum = new Counts(seen + moreSeen, returned + moreReturned);
      return sum.seen < MAX_COUNT ? sum : new Counts(sum.seen / 2, sum.returned / 2);
    }
  }
}
