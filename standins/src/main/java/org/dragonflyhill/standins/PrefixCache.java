package org.dragonflyhill.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dragonflyhill.ports.CachePort;

/**
 * Prefix cache of the runner stand-in, with least-recently-used eviction and a list of the events
 * that added or evicted pieces.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class PrefixCache {

  private final long capacityTokens;
  private final Map<String, Integer> tokensByPiece = new LinkedHashMap<>(16, 0.75f, true);
  private final List<CachePort.Event> events = new ArrayList<>();
  private final Map<Long, Long> eventTimesMillis = new HashMap<>();
  private long usedTokens;

  /** Creates an empty cache with the given capacity in tokens. */
  public PrefixCache(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /** Returns how many leading pieces are cached, and marks these as recently used. */
  public synchronized int touchPrefix(List<String> pieceIds) {
    int count = 0;
    while (count < pieceIds.size() && tokensByPiece.get(pieceIds.get(count)) != null) {
      count++;
    }
    return count;
  }

  /** Returns whether a piece is cached, without marking it as used. */
  public synchronized boolean contains(String pieceId) {
    return tokensByPiece.containsKey(pieceId);
  }

  /** Adds a piece and evicts least recently used pieces while the capacity is exceeded. */
  public synchronized void add(String pieceId, int tokens, long nowMillis) {
    if (tokensByPiece.put(pieceId, tokens) == null) {
      usedTokens += tokens;
      appendEvent(pieceId, true, nowMillis);
    }
    while (usedTokens > capacityTokens && tokensByPiece.size() > 1) {
      evictLeastRecentlyUsed(nowMillis);
    }
  }

  /** Evicts all pieces. */
  public synchronized void clear(long nowMillis) {
    while (!tokensByPiece.isEmpty()) {
      evictLeastRecentlyUsed(nowMillis);
    }
  }

  /**
   * Returns the ids of all cached pieces and the sequence number of the next event.
   *
   * @param verifiesImports whether the runner reports that it verifies imported pieces
   */
  public synchronized CachePort.Contents contents(boolean verifiesImports) {
    return new CachePort.Contents(
        events.size(), List.copyOf(tokensByPiece.keySet()), verifiesImports);
  }

  /**
   * Returns the events from a sequence number onwards that have reached the minimum age.
   *
   * @param from sequence number of the first event to return
   * @param lagMillis minimum age of returned events, in milliseconds
   * @param gapEvery omits one out of this many events, 0 for none
   * @param nowMillis current time, milliseconds since the epoch
   */
  public synchronized CachePort.Events events(
      long from, long lagMillis, int gapEvery, long nowMillis) {
    List<CachePort.Event> visibleEvents = new ArrayList<>();
    long next = from;
    while (next < events.size() && eventTimesMillis.get(next) + lagMillis <= nowMillis) {
      if (gapEvery == 0 || (next + 1) % gapEvery != 0) {
        visibleEvents.add(events.get((int) next));
      }
      next++;
    }
    return new CachePort.Events(next, visibleEvents);
  }

  private void evictLeastRecentlyUsed(long nowMillis) {
    Map.Entry<String, Integer> oldest = tokensByPiece.entrySet().iterator().next();
    tokensByPiece.remove(oldest.getKey());
    usedTokens -= oldest.getValue();
    appendEvent(oldest.getKey(), false, nowMillis);
  }

  private void appendEvent(String pieceId, boolean isPresent, long nowMillis) {
    long sequence = events.size();
    events.add(new CachePort.Event(sequence, pieceId, isPresent));
    eventTimesMillis.put(sequence, nowMillis);
  }
}
