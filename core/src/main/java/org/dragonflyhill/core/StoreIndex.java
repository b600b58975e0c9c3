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
 * A node's index of the piece manifests in each store.
 *
 * <p>The index is soft state, limited in size, and may be incomplete or out of date. Readers verify
 * the pieces they read, so a missing or wrong entry costs recomputation but never correctness.
 *
 * <pre>{@code
 * index.put("store-1", manifest, now);
 * List<StoreIndex.StoredPiece> prefix = index.findPrefix(pieces, 2, filter, isUsable, now);
 * }</pre>
 *
 * <p>Not thread-safe; callers must synchronize access. No argument may be null.
 */
public final class StoreIndex {

  private final int maxManifests;
  private final Duration retryDelay;
  private final Map<String, Map<String, Entry>> entriesByStore = new HashMap<>();
  private int size;

  /**
   * Creates an index.
   *
   * @param maxManifests maximum number of manifests, over all stores
   * @param retryDelay time after a failed import during which the piece is not offered again
   */
  public StoreIndex(int maxManifests, Duration retryDelay) {
    this.maxManifests = maxManifests;
    this.retryDelay = retryDelay;
  }

  /** Adds or replaces a manifest. Returns false if the index is full. */
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

  /** Removes the manifest of a piece that a store no longer lists. */
  public void remove(String store, String pieceId) {
    if (entriesByStore.getOrDefault(store, Map.of()).containsKey(pieceId)) {
      entriesByStore.get(store).remove(pieceId);
      size--;
    }
  }

  /**
   * Replaces all manifests of a store. Unchanged manifests keep their time of last use and the time
   * until which they are not offered.
   */
  public void replace(String store, Collection<PieceManifest> manifests, Instant now) {
    Map<String, Entry> previous = entriesByStore.getOrDefault(store, Map.of());
    removeStore(store);
    for (PieceManifest manifest : manifests) {
      Entry previousEntry = previous.get(manifest.pieceId());
      boolean isSame = previousEntry != null && previousEntry.manifest.equals(manifest);
      if (put(store, manifest, now) && isSame) {
        entriesByStore.get(store).put(manifest.pieceId(), previousEntry);
      }
    }
  }

  /** Removes a store with all of its manifests. */
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
   * Finds the stored pieces that can be imported for a prompt: those after the first {@code from}
   * pieces, up to the first one that {@link #find} does not find.
   *
   * @param pieces all pieces of the prompt
   * @param from number of leading pieces that need no import
   * @param filter which pieces the request may use
   * @param isUsable whether a store may be read
   * @param now current time
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

  /** Finds a piece in any usable store. */
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

  /** Records that a piece was selected for import. */
  public void markUsed(StoredPiece piece, Instant now) {
    update(piece, entry -> new Entry(entry.manifest, now, entry.suspectUntil));
  }

  /** Records a failed import, so that the piece is not offered until the retry delay has passed. */
  public void markImportFailed(StoredPiece piece, Instant now) {
    update(piece, entry -> new Entry(entry.manifest, entry.lastUse, now.plus(retryDelay)));
  }

  /**
   * Returns the manifests of a store in eviction order: least recently used first, and among those
   * used at the same time the last piece of a prompt first, because a piece is useless without
   * those before it.
   */
  public List<PieceManifest> evictionOrder(String store) {
    Comparator<Entry> byUse = Comparator.comparing(Entry::lastUse);
    Comparator<Entry> byPosition = Comparator.comparingInt(entry -> entry.manifest.position());
    return entriesByStore.getOrDefault(store, Map.of()).values().stream()
        .sorted(byUse.thenComparing(byPosition.reversed()))
        .map(Entry::manifest)
        .toList();
  }

  private void update(StoredPiece piece, java.util.function.UnaryOperator<Entry> change) {
    Map<String, Entry> entries = entriesByStore.getOrDefault(piece.store(), Map.of());
    Entry entry = entries.get(piece.manifest().pieceId());
    if (entry != null) {
      entries.put(piece.manifest().pieceId(), change.apply(entry));
    }
  }

  /**
   * Selects the pieces that a request may use.
   *
   * @param organisationTag keyed hash of the organisation of the request
   * @param weightVersion weight version that the request needs
   */
  public record PieceFilter(String organisationTag, String weightVersion) {}

  /**
   * A piece in a store.
   *
   * @param store name of the store
   * @param manifest manifest of the piece
   */
  public record StoredPiece(String store, PieceManifest manifest) {}

  private record Entry(PieceManifest manifest, Instant lastUse, Instant suspectUntil) {}
}
