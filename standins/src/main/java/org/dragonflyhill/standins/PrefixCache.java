package org.dragonflyhill.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dragonflyhill.ports.CachePort;

/**
 * Prefix cache of the runner stand-in: pieces in order of use, the oldest evicted first.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class PrefixCache {

  private final long capacityTokens;
  private final Map<String, Integer> tokensByPiece = new LinkedHashMap<>(16, 0.75f, true);
  private final List<CachePort.Event> events = new ArrayList<>();
  private final Map<Long, Long> eventTimesMillis = new HashMap<>();
  private long usedTokens;

  /** Creates a cache of a capacity in tokens. */
  public PrefixCache(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /** Returns how many leading pieces are there, and counts them as used. */
  public synchronized int touchPrefix(List<String> pieceIds) {
    int count = 0;
    while (count < pieceIds.size() && tokensByPiece.get(pieceIds.get(count)) != null) {
      count++;
    }
    return count;
  }

  /** Returns whether a piece is there. */
  public synchronized boolean contains(String pieceId) {
    return tokensByPiece.containsKey(pieceId);
  }

  /** Adds a piece, evicting others where there is no room. */
  public synchronized void add(String pieceId, int tokens, long nowMillis) {
    if (tokensByPiece.put(pieceId, tokens) == null) {
      usedTokens += tokens;
      appendEvent(pieceId, true, nowMillis);
    }
    while (usedTokens > capacityTokens && tokensByPiece.size() > 1) {
      evictLeastRecentlyUsed(nowMillis);
    }
  }

  /** Evicts everything. */
  public synchronized void clear(long nowMillis) {
    while (!tokensByPiece.isEmpty()) {
      evictLeastRecentlyUsed(nowMillis);
    }
  }

  /**
   * Returns the ids of all pieces and the number of the next event.
   *
   * @param verifiesImports whether the engine says that it checks what it imports
   */
  public synchronized CachePort.Contents contents(boolean verifiesImports) {
    return new CachePort.Contents(
        events.size(), List.copyOf(tokensByPiece.keySet()), verifiesImports);
  }

  /**
   * Returns the events from a number on that are old enough.
   *
   * @param from number of the first event wanted
   * @param lagMillis age at which an event is told, in milliseconds
   * @param gapEvery one of this many events is lost, 0 for none
   * @param nowMillis present time, milliseconds since the epoch
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
