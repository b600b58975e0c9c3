package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The origins of the latest streams, by the id of the caller's attempt that brought the first
 * event. An origin never changes, so the first one that is recorded holds.
 *
 * <p>Bounded in time and number; not thread-safe; no argument may be null.
 */
public final class StreamOrigins {

  /** Time for which an origin is kept, longer than callers wait for a stream. */
  public static final Duration RETENTION = Duration.ofSeconds(60);

  /** Maximum number of origins; the oldest ones are dropped first. */
  public static final int MAX_ORIGINS = 10_000;

  private final Map<String, Known> origins = new LinkedHashMap<>();

  /** Records the origin of a stream; returns false if one is known already. */
  public boolean record(String attempt, StreamOrigin origin, String source, Instant now) {
    removeExpired(now);
    if (origins.putIfAbsent(attempt, new Known(origin, source, now)) != null) {
      return false;
    }
    if (origins.size() > MAX_ORIGINS) {
      removeOldest();
    }
    return true;
  }

  /** Returns what is known of the stream that an attempt began. */
  public Optional<Known> find(String attempt, Instant now) {
    removeExpired(now);
    return Optional.ofNullable(origins.get(attempt));
  }

  /** Returns the number of origins that are kept. */
  public int size() {
    return origins.size();
  }

  private void removeExpired(Instant now) {
    Instant oldest = now.minus(RETENTION);
    Iterator<Known> iterator = origins.values().iterator();
    while (iterator.hasNext() && iterator.next().recordedAt().isBefore(oldest)) {
      iterator.remove();
    }
  }

  private void removeOldest() {
    Iterator<Known> iterator = origins.values().iterator();
    iterator.next();
    iterator.remove();
  }

  /**
   * An origin and how it came to be known.
   *
   * @param origin the origin
   * @param source where it is known from, for the log
   * @param recordedAt when it was recorded
   */
  public record Known(StreamOrigin origin, String source, Instant recordedAt) {}
}
