package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the store that keeps each shared part of a prompt: one store for each part, the same on
 * all nodes, with room left.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class PartPlacement {

  /** How long a part that is being saved counts as kept. */
  public static final Duration PENDING_TTL = Duration.ofSeconds(3);

  /** Part of a store that is filled; nodes learn of each other's saves late. */
  public static final double MAX_FILL_RATIO = 0.96;

  /** Parts below this are read again faster than they are worth moving, in tokens. */
  public static final int MIN_TOKENS = 64;

  private final PartDirectory directory;
  private final Map<PartDirectory.Key, Pending> pending = new HashMap<>();

  /** Creates a plan by what a directory knows. */
  public PartPlacement(PartDirectory directory) {
    this.directory = directory;
  }

  /** Returns where each part is to be saved, empty where it is kept already or has no room. */
  public List<Optional<Endpoint>> saveTargets(
      String salt, List<Prompt.Part> parts, List<Service.Store> stores, Instant now) {
    List<Optional<Endpoint>> saves = new ArrayList<>();
    for (Prompt.Part part : parts) {
      saves.add(saveTarget(salt, part, stores, now));
    }
    return saves;
  }

  private Optional<Endpoint> saveTarget(
      String salt, Prompt.Part part, List<Service.Store> stores, Instant now) {
    PartDirectory.Key key = new PartDirectory.Key(salt, part.id());
    Pending known = pending.get(key);
    boolean isPending = known != null && now.isBefore(known.until());
    boolean isKept =
        stores.stream().anyMatch(store -> directory.tokens(store.endpoint(), salt, part.id()) > 0);
    if (part.tokens() < MIN_TOKENS || isPending || isKept) {
      return Optional.empty();
    }
    Service.Store best = null;
    double highest = -1;
    for (Service.Store store : stores) {
      double score = score(key, store);
      boolean hasRoom =
          usedTokens(store, now) + part.tokens() <= store.capacityTokens() * MAX_FILL_RATIO;
      if (hasRoom && score > highest) {
        highest = score;
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
      if (isHere && now.isBefore(entry.getValue().until())) {
        used += entry.getValue().tokens();
      }
    }
    return used;
  }

  /** Weighted rendezvous hashing: each node ranks the stores of a part alike. */
  private static double score(PartDirectory.Key key, Service.Store store) {
    long hash = (key + "\n" + store.name()).hashCode() * 0x9E3779B97F4A7C15L;
    double uniform = ((hash >>> 11) + 1) / (double) (1L << 53);
    return store.capacityTokens() / -Math.log(uniform);
  }

  /** Drops saves that have passed. */
  public void expirePending(Instant now) {
    pending.values().removeIf(entry -> entry.until().isBefore(now));
  }

  private record Pending(Endpoint store, int tokens, Instant until) {}
}
