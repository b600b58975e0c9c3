package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Shares the bandwidth of links between imports, which delay requests, and exports, which run in
 * the background.
 *
 * <p>Each link is modelled as a queue that drains at the link's bandwidth. Imports are always
 * admitted and lengthen the queue. An export is admitted only if its links are idle, and all
 * exports together use at most a fixed share of the bandwidth.
 *
 * <pre>{@code
 * long rate = budget.estimateBytesPerSecond(link, bytes, now);
 * budget.reserve(link, bytes, now);
 * }</pre>
 *
 * <p>Not thread-safe; callers must synchronize access. Arguments must not be null.
 */
public final class LinkBudget {

  /** Share of the bandwidth of a link that exports may use. */
  private static final double EXPORT_SHARE = 0.25;

  private final Map<String, Instant> busyUntil = new HashMap<>();
  private final Map<String, Instant> nextExportAt = new HashMap<>();

  /** Returns the effective bandwidth of a new transfer, including the wait for queued transfers. */
  public long estimateBytesPerSecond(Link link, long bytes, Instant now) {
    Duration duration = queueDelay(link, now).plus(transferTime(link, bytes));
    if (duration.isZero()) {
      return link.bytesPerSecond();
    }
    return Math.max(1, (long) (bytes / (duration.toNanos() / 1e9)));
  }

  /** Adds a transfer to the queue of a link. */
  public void reserve(Link link, long bytes, Instant now) {
    busyUntil.put(link.name(), now.plus(queueDelay(link, now)).plus(transferTime(link, bytes)));
  }

  /** Reserves all links for an export, or none; returns whether the export may start now. */
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
   * The network link of an endpoint.
   *
   * @param name name of the endpoint
   * @param bytesPerSecond bandwidth of the link, at least 1
   */
  public record Link(String name, long bytesPerSecond) {}
}
