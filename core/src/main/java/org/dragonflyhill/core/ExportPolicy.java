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
 * return sooner than {@link #MIN_REUSE_INTERVAL} teaches nothing, since the runner still has the
 * piece then. Memory is bounded: the groups and pieces seen least recently are forgotten.
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
public final class ExportPolicy {

  /** Shortest gap that counts as a return. */
  public static final Duration MIN_REUSE_INTERVAL = Duration.ofMinutes(1);

  /** Longest gap that counts as a return. */
  public static final Duration MAX_REUSE_INTERVAL = Duration.ofDays(7);

  private static final int MAX_GROUPS = 4_096;
  private static final int MAX_PIECES = 65_536;

  /** At this many pieces the counts of a group are halved, so that it follows changes. */
  private static final int MAX_USES = 4_096;

  private static final double PRIOR_REUSES = 1;
  private static final double PRIOR_USES = 2;

  private final Map<String, Counts> countsByGroup = lruMap(MAX_GROUPS);
  private final Map<Long, Instant> lastUsed = lruMap(MAX_PIECES);

  /** Notes that a piece was part of a request. */
  public void recordUse(String group, String pieceId, Instant now) {
    Counts counts = countsByGroup.getOrDefault(group, new Counts(0, 0));
    Instant last = lastUsed.put(PieceIndex.fingerprint(pieceId), now);
    if (last == null) {
      countsByGroup.put(group, counts.plus(1, 0));
    } else if (isReuse(Duration.between(last, now))) {
      countsByGroup.put(group, counts.plus(1, 1));
    }
  }

  /** Returns the learned chance that a piece of a group returns. */
  public double reuseProbability(String group) {
    Counts counts = countsByGroup.getOrDefault(group, new Counts(0, 0));
    return (counts.returned + PRIOR_REUSES) / (counts.seen + PRIOR_USES);
  }

  /** Returns whether a piece is worth its transfers. */
  public boolean isWorthExporting(String group, Cost cost) {
    double probability = reuseProbability(group);
    double savedSeconds = probability * cost.tokens() / cost.prefillTokensPerSecond();
    double transferSeconds = (double) cost.bytes() / cost.linkBytesPerSecond();
    return savedSeconds > transferSeconds * (1 + probability);
  }

  private static boolean isReuse(Duration interval) {
    return interval.compareTo(MIN_REUSE_INTERVAL) >= 0
        && interval.compareTo(MAX_REUSE_INTERVAL) <= 0;
  }

  private static <K, V> Map<K, V> lruMap(int maxEntries) {
    return new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
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

    Counts plus(int moreUses, int moreReuses) {
      Counts sum = new Counts(seen + moreUses, returned + moreReuses);
      return sum.seen < MAX_USES ? sum : new Counts(sum.seen / 2, sum.returned / 2);
    }
  }
}
