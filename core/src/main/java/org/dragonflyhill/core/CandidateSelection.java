package org.dragonflyhill.core;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.random.RandomGenerator;

/**
 * Picks the few runners that are worth an estimate among thousands.
 *
 * <p>The runners that lead rendezvous hashing for a prompt are picked, since earlier visits went to
 * them, and a random sample beside them, so that nodes with late views do not all choose the same
 * idle runner. All are picked where there are few.
 *
 * <pre>{@code
 * CandidateSelection selection = new CandidateSelection(names, 8, 8);
 * List<String> candidates = selection.select(firstPieceId, random);
 * }</pre>
 *
 * <p>Keys are hashed into a fixed number of buckets, and the leaders of a bucket are ranked once,
 * when its first key comes. A change of the runners needs a new selection.
 *
 * <p>Thread-safe, as far as the randomness passed in is; no argument may be null.
 */
public final class CandidateSelection {

  private static final int BUCKETS = 4_096;
  private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

  private final List<String> runners;
  private final long[] hashes;
  private final AtomicReferenceArray<List<String>> leadersByBucket =
      new AtomicReferenceArray<>(BUCKETS);
  private final int preferred;
  private final int sampled;

  /**
   * Creates a selection.
   *
   * @param runners names of all runners that may be chosen
   * @param preferred runners picked by rendezvous hashing
   * @param sampled runners picked at random
   */
  public CandidateSelection(List<String> runners, int preferred, int sampled) {
    this.runners = List.copyOf(runners);
    this.preferred = preferred;
    this.sampled = sampled;
    hashes = this.runners.stream().mapToLong(Hashing.komihash5_0()::hashCharsToLong).toArray();
  }

  /** Returns the picked runners, those that lead for the key first. */
  public List<String> select(String key, RandomGenerator random) {
    if (runners.size() <= preferred + sampled) {
      return runners;
    }
    Set<String> picked = new LinkedHashSet<>(leaders(key));
    for (int count = 0; count < sampled; count++) {
      picked.add(runners.get(random.nextInt(runners.size())));
    }
    return List.copyOf(picked);
  }

  private List<String> leaders(String key) {
    int bucket = (int) (Hashing.komihash5_0().hashCharsToLong(key) & (BUCKETS - 1));
    List<String> known = leadersByBucket.get(bucket);
    if (known == null) {
      known = Arrays.stream(ranked(mix(bucket + 1))).mapToObj(runners::get).toList();
      leadersByBucket.set(bucket, known);
    }
    return known;
  }

  private int[] ranked(long key) {
    int[] leaders = new int[preferred];
    long[] weights = new long[preferred];
    Arrays.fill(weights, Long.MIN_VALUE);
    for (int runner = 0; runner < hashes.length; runner++) {
      long weight = mix(hashes[runner] ^ key);
      int place = preferred;
      while (place > 0 && weight > weights[place - 1]) {
        place--;
      }
      if (place < preferred) {
        System.arraycopy(weights, place, weights, place + 1, preferred - place - 1);
        System.arraycopy(leaders, place, leaders, place + 1, preferred - place - 1);
        weights[place] = weight;
        leaders[place] = runner;
      }
    }
    return leaders;
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 32)) * GOLDEN_RATIO;
    return mixed ^ (mixed >>> 29);
  }
}
