package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Knows the manifests of each store, as far as a node has heard of them.
 *
 * <p>The index is soft state and holds a limited number of manifests; what it lacks or has wrong
 * costs recomputation, since a reader checks what it reads.
 *
 * <pre>{@code
 * index.put("store-1", manifest, now);
 * List<StoreIndex.Found> prefix = index.prefix(pieces, 2, tag, version, isUsable, now);
 * }</pre>
 *
 * <p>Not thread-safe; its owner guards it. No argument may be null.
 */
public final class StoreIndex {

  private final int maxManifests;
  private final Duration retryDelay;
  private final Map<String, Map<String, Entry>> entriesByStore = new HashMap<>();
  private int size;

  /**
   * Creates an index.
   *
   * @param maxManifests most manifests that it holds
   * @param retryDelay how long a piece is left alone whose import failed
   */
  public StoreIndex(int maxManifests, Duration retryDelay) {
    this.maxManifests = maxManifests;
    this.retryDelay = retryDelay;
  }

  /** Notes a manifest; returns whether there was room for it. */
  public boolean put(String store, PieceManifest manifest, Instant now) {
    Map<String, Entry> entries = entriesByStore.computeIfAbsent(store, name -> new HashMap<>());
    if (size >= maxManifests && !entries.containsKey(manifest.pieceId())) {
      return false;
    }
    Entry entry = new Entry(manifest, now, Instant.MIN);
    if (entries.put(manifest.pieceId(), entry) == null) {
      size++;
    }
    return true;
  }

  /** Notes that a store no longer lists a piece. */
  public void remove(String store, String pieceId) {
    if (entriesByStore.getOrDefault(store, Map.of()).containsKey(pieceId)) {
      entriesByStore.get(store).remove(pieceId);
      size--;
    }
  }

  /** Replaces all that is known of a store. */
  public void replace(String store, Collection<PieceManifest> manifests, Instant now) {
    Map<String, Entry> known = entriesByStore.getOrDefault(store, Map.of());
    removeStore(store);
    for (PieceManifest manifest : manifests) {
      Entry old = known.get(manifest.pieceId());
      boolean isSame = old != null && old.manifest.equals(manifest);
      if (put(store, manifest, now) && isSame) {
        entriesByStore.get(store).put(manifest.pieceId(), old);
      }
    }
  }

  /** Forgets a store. */
  public void removeStore(String store) {
    Map<String, Entry> entries = entriesByStore.remove(store);
    size -= entries == null ? 0 : entries.size();
  }

  /** Returns whether a store lists a piece. */
  public boolean holds(String store, String pieceId) {
    return entriesByStore.getOrDefault(store, Map.of()).containsKey(pieceId);
  }

  /** Returns the number of manifests, over all stores. */
  public int size() {
    return size;
  }

  /**
   * Finds the stored pieces that continue a prompt.
   *
   * @param pieces all pieces of the prompt
   * @param from number of leading pieces that need no import
   * @param filter whose pieces may be used
   * @param isUsable whether a store may be read
   * @param now present time
   */
  public List<StoredPiece> findPrefix(
      List<PieceKeys.Piece> pieces,
      int from,
      PieceFilter filter,
      Predicate<String> isUsable,
      Instant now) {
    List<StoredPiece> prefix = new ArrayList<>();
    for (PieceKeys.Piece piece : pieces.subList(from, pieces.size())) {
      Optional<StoredPiece> found = find(piece.id(), filter, isUsable, now);
      if (found.isEmpty()) {
        break;
      }
      prefix.add(found.get());
    }
    return prefix;
  }

  /** Finds a piece in a store that may be read. */
  public Optional<StoredPiece> find(
      String pieceId, PieceFilter filter, Predicate<String> isUsable, Instant now) {
    for (Map.Entry<String, Map<String, Entry>> store : entriesByStore.entrySet()) {
      Entry entry = store.getValue().get(pieceId);
      if (entry != null
          && entry.manifest.isFor(filter.organisationTag(), filter.weightVersion())
          && entry.suspectUntil.isBefore(now)
          && isUsable.test(store.getKey())) {
        return Optional.of(new StoredPiece(store.getKey(), entry.manifest));
      }
    }
    return Optional.empty();
  }

  /** Notes that a piece was chosen for import. */
  public void markUsed(StoredPiece found, Instant now) {
    update(found, entry -> new Entry(entry.manifest, now, entry.suspectUntil));
  }

  /** Notes that an import of a piece failed. */
  public void markImportFailed(StoredPiece found, Instant now) {
    update(found, entry -> new Entry(entry.manifest, entry.lastUse, now.plus(retryDelay)));
  }

  /**
   * Returns manifests in the order in which they should make room: unused for longest first, and of
   * one prompt the last piece first, since it is of no use without those before it.
   */
  public List<PieceManifest> evictionOrder(String store) {
    Comparator<Entry> byUse = Comparator.comparing(Entry::lastUse);
    Comparator<Entry> byPosition = Comparator.comparingInt(entry -> entry.manifest.position());
    return entriesByStore.getOrDefault(store, Map.of()).values().stream()
        .sorted(byUse.thenComparing(byPosition.reversed()))
        .map(Entry::manifest)
        .toList();
  }

  private void update(StoredPiece found, java.util.function.UnaryOperator<Entry> change) {
    Map<String, Entry> entries = entriesByStore.getOrDefault(found.store(), Map.of());
    Entry entry = entries.get(found.manifest().pieceId());
    if (entry != null) {
      entries.put(found.manifest().pieceId(), change.apply(entry));
    }
  }

  /**
   * Whose pieces a request may use.
   *
   * @param organisationTag keyed hash of its organisation
   * @param weightVersion version of the weights that must answer it
   */
  public record PieceFilter(String organisationTag, String weightVersion) {}

  /**
   * A stored piece.
   *
   * @param store name of the store
   * @param manifest its manifest
   */
  public record StoredPiece(String store, PieceManifest manifest) {}

  private record Entry(PieceManifest manifest, Instant lastUse, Instant suspectUntil) {}
}
