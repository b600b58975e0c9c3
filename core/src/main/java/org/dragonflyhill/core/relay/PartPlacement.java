package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the store to which the KV cache of each shared part of a prompt is saved. Every part goes
 * to one store with room left, and all nodes choose the same store for it.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class PartPlacement {

  /** Time for which a requested save counts as stored, until the store reports the part. */
  public static final Duration PENDING_TTL = Duration.ofSeconds(3);

  /**
   * Fraction of a store's capacity that is used. The rest covers saves of other nodes that this
   * node has not learned of yet.
   */
  public static final double MAX_FILL_RATIO = 0.96;

  /**
   * Minimum size of a saved part, in tokens. Shorter parts are cheaper to prefill than to fetch.
   */
  public static final int MIN_TOKENS = 64;

  private final PartDirectory directory;
  private final Map<PartDirectory.Key, Pending> pending = new HashMap<>();

  /** Creates a placement based on the parts that are known to a directory. */
  public PartPlacement(PartDirectory directory) {
    this.directory = directory;
  }

  /**
   * Returns the store to which each part should be saved, in the order of the parts. An element is
   * empty if the part is too short, already stored or being saved, or if no store has room for it.
   */
  public List<Optional<Endpoint>> saveTargets(
      String salt, List<Prompt.Part> parts, List<Service.Store> stores, Instant now) {
    List<Optional<Endpoint>> targets = new ArrayList<>();
    for (Prompt.Part part : parts) {
      targets.add(saveTarget(salt, part, stores, now));
    }
    return targets;
  }

  private Optional<Endpoint> saveTarget(
      String salt, Prompt.Part part, List<Service.Store> stores, Instant now) {
    PartDirectory.Key key = new PartDirectory.Key(salt, part.id());
    Pending existing = pending.get(key);
    boolean isPending = existing != null && now.isBefore(existing.expiresAt());
    boolean isStored =
        stores.stream().anyMatch(store -> directory.tokens(store.endpoint(), salt, part.id()) > 0);
    if (part.tokens() < MIN_TOKENS || isPending || isStored) {
      return Optional.empty();
    }
    Service.Store best = null;
    double bestScore = -1;
    for (Service.Store store : stores) {
      double score = score(key, store);
      boolean hasRoom =
          usedTokens(store, now) + part.tokens() <= store.capacityTokens() * MAX_FILL_RATIO;
      if (hasRoom && score > bestScore) {
        bestScore = score;
        best = store;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    pending.put(key, new Pending(best.endpoint(), part.tokens(), now.plus(PENDING_TTL)));
    return Optional.of(best.endpoint());
  }

  private long usedTokens(Service.Store store, Instant now) {
    long used = directory.totalTokens(store.endpoint());
    for (Map.Entry<PartDirectory.Key, Pending> entry : pending.entrySet()) {
      boolean isHere = entry.getValue().store().equals(store.endpoint());
      if (isHere && now.isBefore(entry.getValue().expiresAt())) {
        used += entry.getValue().tokens();
      }
    }
    return used;
  }

  /**
   * Weighted rendezvous hashing, by which all nodes rank the stores of a part alike. The hash
   * covers the string form of the key, so renaming a component of {@link PartDirectory.Key} changes
   * it.
   */
  private static double score(PartDirectory.Key key, Service.Store store) {
    long hash = (key + "\n" + store.name()).hashCode() * 0x9E3779B97F4A7C15L;
    double uniform = ((hash >>> 11) + 1) / (double) (1L << 53);
    return store.capacityTokens() / -Math.log(uniform);
  }

  /** Removes saves that have expired. */
  public void expirePending(Instant now) {
    pending.values().removeIf(entry -> entry.expiresAt().isBefore(now));
  }

  private record Pending(Endpoint store, int tokens, Instant expiresAt) {}
}
