package org.dragonflyhill.core;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

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

  /** Returns the names in order of their weight for the key, the highest first. */
  public static List<String> rank(String key, Collection<String> names) {
    List<WeightedName> ranked = new ArrayList<>(names.size());
    names.forEach(name -> ranked.add(new WeightedName(name, weight(key, name))));
    ranked.sort(WeightedName.HEAVIEST_FIRST);
    return ranked.stream().map(WeightedName::name).toList();
  }

  private static long weight(String key, String name) {
    return Hashing.komihash5_0().hashStream().putString(key).putString(name).getAsLong();
  }

  private record WeightedName(String name, long weight) {

    static final Comparator<WeightedName> HEAVIEST_FIRST =
        Comparator.comparingLong(WeightedName::weight).reversed().thenComparing(WeightedName::name);
  }
}
