package org.dragonflyhill.core;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Ranks names for a key by rendezvous hashing (highest random weight).
 *
 * <p>Adding or removing one name changes the first-ranked name of only a few keys.
 *
 * <pre>{@code
 * String owner = RendezvousHash.rank("runner-1", liveNodes).getFirst();
 * }</pre>
 *
 * <p>Stateless and thread-safe. Arguments must not be null.
 */
public final class RendezvousHash {

  private RendezvousHash() {}

  /**
   * Returns the name that {@link #rank} puts first, without sorting the others.
   *
   * @throws java.util.NoSuchElementException if there are no names
   */
  public static String first(String key, Collection<String> names) {
    return names.stream()
        .map(name -> new WeightedName(name, weight(key, name)))
        .min(WeightedName.HEAVIEST_FIRST)
        .map(WeightedName::name)
        .orElseThrow();
  }

  /** Returns the names in order of their weight for the key, the highest first. */
  public static List<String> rank(String key, Collection<String> names) {
    List<WeightedName> ranked = new ArrayList<>(names.size());
    names.forEach(name -> ranked.add(new WeightedName(name, weight(key, name))));
    ranked.sort(WeightedName.HEAVIEST_FIRST);
    return ranked.stream().map(WeightedName::name).toList();
  }

  /**
   * Returns the names in a pseudo-random order for the key in which names with larger factors tend
   * to come first: a name is first with a probability in proportion to its factor.
   *
   * @param key the key
   * @param factors positive factors, by name
   */
  public static List<String> rankInProportion(String key, Map<String, Double> factors) {
    Map<String, Double> costs = new HashMap<>();
    factors.forEach(
        (name, factor) -> {
          double uniform = ((weight(key, name) >>> 11) + 0.5) * 0x1p-53;
          costs.put(name, -Math.log(uniform) / factor);
        });
    return costs.entrySet().stream()
        .sorted(
            Map.Entry.<String, Double>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
        .map(Map.Entry::getKey)
        .toList();
  }

  private static long weight(String key, String name) {
    return Hashing.komihash5_0().hashStream().putString(key).putString(name).getAsLong();
  }

  private record WeightedName(String name, long weight) {

    static final Comparator<WeightedName> HEAVIEST_FIRST =
        Comparator.comparingLong(WeightedName::weight).reversed().thenComparing(WeightedName::name);
  }
}
