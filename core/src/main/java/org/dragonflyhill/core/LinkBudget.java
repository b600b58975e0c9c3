package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Shares the bandwidth of links between imports, which requests wait for, and exports, which nobody
 * waits for.
 *
 * <p>Each link is a queue that drains at its bandwidth. Imports are always admitted and make the
 * queue longer. An export is admitted only on an idle link, and exports together take at most a
 * fixed share of it.
 *
 * <pre>{@code
 * long rate = budget.bytesPerSecond(link, bytes, now);
 * budget.reserve(link, bytes, now);
 * }</pre>
 *
 * <p>Not thread-safe; its owner guards it. No argument may be null.
 */
public final class LinkBudget {

  private static final double EXPORT_SHARE = 0.25;

  private final Map<String, Instant> busyUntil = new HashMap<>();
  private final Map<String, Instant> nextExport = new HashMap<>();

  /** Returns the bandwidth that a transfer would see, with those ahead of it. */
  public long bytesPerSecond(Link link, long bytes, Instant now) {
    Duration total = queue(link, now).plus(time(link, bytes));
    if (total.isZero()) {
      return link.bytesPerSecond();
    }
    return Math.max(1, (long) (bytes / (total.toNanos() / 1e9)));
  }

  /** Notes a transfer that a request waits for. */
  public void reserve(Link link, long bytes, Instant now) {
    busyUntil.put(link.name(), now.plus(queue(link, now)).plus(time(link, bytes)));
  }

  /** Admits an export on all its links or on none; returns whether it may start now. */
  public boolean tryExport(Iterable<Link> links, long bytes, Instant now) {
    for (Link link : links) {
      boolean isIdle = queue(link, now).isZero();
      if (!isIdle || nextExport.getOrDefault(link.name(), Instant.MIN).isAfter(now)) {
        return false;
      }
    }
    for (Link link : links) {
      Duration time = time(link, bytes);
      reserve(link, bytes, now);
      nextExport.put(link.name(), now.plusNanos((long) (time.toNanos() / EXPORT_SHARE)));
    }
    return true;
  }

  private Duration queue(Link link, Instant now) {
    Instant until = busyUntil.getOrDefault(link.name(), now);
    return until.isAfter(now) ? Duration.between(now, until) : Duration.ZERO;
  }

  private static Duration time(Link link, long bytes) {
    return Duration.ofNanos((long) (bytes * 1e9 / link.bytesPerSecond()));
  }

  /**
   * A link of an endpoint.
   *
   * @param name name of the endpoint
   * @param bytesPerSecond its bandwidth, at least 1
   */
  public record Link(String name, long bytesPerSecond) {}
}
