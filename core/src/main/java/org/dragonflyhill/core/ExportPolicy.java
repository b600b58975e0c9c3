package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which pieces of KV cache are worth exporting to a store.
 *
 * <p>A piece is worth exporting if the prefill time that it is expected to save exceeds the
 * transfer time of writing it and of reading it back.
 *
 * <p>The probability of reuse is learned for each group, such as an organisation and task. A reuse
 * after less than {@link #MIN_REUSE_INTERVAL} is ignored, because the runner still holds the piece
 * then. Memory is bounded: the least recently used groups and pieces are evicted.
 *
 * <pre>{@code
 * policy.recordUse(group, pieceId, now);
 * if (policy.isWorthExporting(group, cost)) {
 *   export(piece);
 * }
 * }</pre>
 *
 * <p>Not thread-safe; callers must synchronize access. Arguments must not be null.
 */
public final class ExportPolicy {

  /** Minimum time between two uses of a piece for the second to count as a reuse. */
  public static final Duration MIN_REUSE_INTERVAL = Duration.ofMinutes(1);

  /** Maximum time between two uses of a piece for the second to count as a reuse. */
  public static final Duration MAX_REUSE_INTERVAL = Duration.ofDays(7);

  private static final int MAX_GROUPS = 4_096;
  private static final int MAX_PIECES = 65_536;

  /** Number of uses at which the counts of a group are halved, so that old uses lose weight. */
  private static final int MAX_USES = 4_096;

  /** Initial counts of each group; they give a group without uses a probability of 1/2. */
  private static final double PRIOR_REUSES = 1;

  private static final double PRIOR_USES = 2;

  private final Map<String, Counts> countsByGroup = lruMap(MAX_GROUPS);
  private final Map<Long, Instant> lastUsed = lruMap(MAX_PIECES);

  /** Records that a piece was used by a request. */
  public void recordUse(String group, String pieceId, Instant now) {
    Counts counts = countsByGroup.getOrDefault(group, new Counts(0, 0));
    Instant last = lastUsed.put(PieceIndex.fingerprint(pieceId), now);
    if (last == null) {
      countsByGroup.put(group, counts.plus(1, 0));
    } else if (isReuse(Duration.between(last, now))) {
      countsByGroup.put(group, counts.plus(1, 1));
    }
  }

  /** Returns the learned probability that a piece of a group is reused. */
  public double reuseProbability(String group) {
    Counts counts = countsByGroup.getOrDefault(group, new Counts(0, 0));
    return (counts.reuses + PRIOR_REUSES) / (counts.uses + PRIOR_USES);
  }

  /** Returns whether the expected saving of an export exceeds its transfer time. */
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
   * Size of a piece and the rates at which it can be computed and transferred.
   *
   * @param tokens number of tokens in the piece
   * @param bytes size of its KV cache in bytes
   * @param prefillTokensPerSecond prefill throughput of the runner
   * @param linkBytesPerSecond bandwidth between the runner and the store
   */
  public record Cost(
      long tokens, long bytes, long prefillTokensPerSecond, long linkBytesPerSecond) {}

  private record Counts(int uses, int reuses) {

    Counts plus(int moreUses, int moreReuses) {
      Counts sum = new Counts(uses + moreUses, reuses + moreReuses);
      return sum.uses < MAX_USES ? sum : new Counts(sum.uses / 2, sum.reuses / 2);
    }
  }
}
