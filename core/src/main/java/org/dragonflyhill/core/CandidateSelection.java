package org.dragonflyhill.core;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.random.RandomGenerator;

/**
 * Selects a small set of candidate runners, so that placement need not evaluate thousands.
 *
 * <p>The selection contains the runners that rank highest by rendezvous hashing for the prompt,
 * because earlier requests with the same prompt prefix went to them. It also contains a random
 * sample of all runners, so that nodes with outdated load information do not all choose the same
 * idle runner. If there are few runners, all of them are selected.
 *
 * <pre>{@code
 * CandidateSelection selection = new CandidateSelection(names, 8, 8);
 * List<String> candidates = selection.select(firstPieceId, random);
 * }</pre>
 *
 * <p>Keys are hashed into a fixed number of buckets. The ranking of a bucket is computed at its
 * first use and cached. When the set of runners changes, a new instance is needed.
 *
 * <p>Thread-safe if the random generator passed in is. Arguments must not be null.
 */
public final class CandidateSelection {

  private static final int BUCKETS = 4_096;
  private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

  private final List<String> runners;
  private final long[] hashes;
  private final AtomicReferenceArray<List<String>> topRunnersByBucket =
      new AtomicReferenceArray<>(BUCKETS);
  private final int preferredCount;
  private final int sampledCount;

  /**
   * Creates a selection.
   *
   * @param runners names of all runners
   * @param preferredCount number of runners to select by rendezvous hashing
   * @param sampledCount number of random draws; a runner may be drawn more than once
   */
  public CandidateSelection(List<String> runners, int preferredCount, int sampledCount) {
    this.runners = List.copyOf(runners);
    this.preferredCount = preferredCount;
    this.sampledCount = sampledCount;
    hashes = this.runners.stream().mapToLong(Hashing.komihash5_0()::hashCharsToLong).toArray();
  }

  /** Returns the selected runners, the highest ranked for the key first. */
  public List<String> select(String key, RandomGenerator random) {
    if (runners.size() <= preferredCount + sampledCount) {
      return runners;
    }
    Set<String> picked = new LinkedHashSet<>(topRunners(key));
    for (int count = 0; count < sampledCount; count++) {
      picked.add(runners.get(random.nextInt(runners.size())));
    }
    return List.copyOf(picked);
  }

  private List<String> topRunners(String key) {
    int bucket = (int) (Hashing.komihash5_0().hashCharsToLong(key) & (BUCKETS - 1));
    List<String> cached = topRunnersByBucket.get(bucket);
    if (cached == null) {
      cached = Arrays.stream(rankTop(mix(bucket + 1))).mapToObj(runners::get).toList();
      topRunnersByBucket.set(bucket, cached);
    }
    return cached;
  }

  private int[] rankTop(long bucketHash) {
    int[] top = new int[preferredCount];
    long[] weights = new long[preferredCount];
    Arrays.fill(weights, Long.MIN_VALUE);
    for (int runner = 0; runner < hashes.length; runner++) {
      long weight = mix(hashes[runner] ^ bucketHash);
      int position = preferredCount;
      while (position > 0 && weight > weights[position - 1]) {
        position--;
      }
      if (position < preferredCount) {
        System.arraycopy(weights, position, weights, position + 1, preferredCount - position - 1);
        System.arraycopy(top, position, top, position + 1, preferredCount - position - 1);
        weights[position] = weight;
        top[position] = runner;
      }
    }
    return top;
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 32)) * GOLDEN_RATIO;
    return mixed ^ (mixed >>> 29);
  }
}
