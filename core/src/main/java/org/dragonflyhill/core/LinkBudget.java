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
  private final Map<String, Instant> nextExportAt = new HashMap<>();

  /** Returns the bandwidth that a transfer would see, with those ahead of it. */
  public long estimateBytesPerSecond(Link link, long bytes, Instant now) {
    Duration duration = queueDelay(link, now).plus(transferTime(link, bytes));
    if (duration.isZero()) {
      return link.bytesPerSecond();
    }
    return Math.max(1, (long) (bytes / (duration.toNanos() / 1e9)));
  }

  /** Notes a transfer that a request waits for. */
  public void reserve(Link link, long bytes, Instant now) {
    busyUntil.put(link.name(), now.plus(queueDelay(link, now)).plus(transferTime(link, bytes)));
  }

  /** Admits an export on all its links or on none; returns whether it may start now. */
  public boolean tryReserveExport(Iterable<Link> links, long bytes, Instant now) {
    for (Link link : links) {
      boolean isIdle = queueDelay(link, now).isZero();
      if (!isIdle || nextExportAt.getOrDefault(link.name(), Instant.MIN).isAfter(now)) {
        return false;
      }
    }
    for (Link link : links) {
      Duration duration = transferTime(link, bytes);
      reserve(link, bytes, now);
      nextExportAt.put(link.name(), now.plusNanos((long) (duration.toNanos() / EXPORT_SHARE)));
    }
    return true;
  }

  private Duration queueDelay(Link link, Instant now) {
    Instant freeAt = busyUntil.getOrDefault(link.name(), now);
    return freeAt.isAfter(now) ? Duration.between(now, freeAt) : Duration.ZERO;
  }

  private static Duration transferTime(Link link, long bytes) {
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
