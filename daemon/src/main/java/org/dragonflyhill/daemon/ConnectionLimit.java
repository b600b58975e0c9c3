package org.dragonflyhill.daemon;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the open connections of callers. A connection over the limit is closed after a short
 * delay, in which a request on it can be refused with the reason. Above twice the limit, new
 * connections are closed at once.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class ConnectionLimit {

  /** Time in which a connection over the limit can send a request and receive the refusal. */
  private static final Duration OVER_LIMIT_CLOSE_DELAY = Duration.ofSeconds(1);

  private static final AttributeKey<Boolean> OVER_LIMIT =
      AttributeKey.valueOf("connection-over-limit");

  private final int limit;
  private final AtomicInteger openConnections = new AtomicInteger();
  private volatile Instant lastOpenedAt = Instant.EPOCH;

  /** Creates a limit for the given number of open connections. */
  ConnectionLimit(int limit) {
    this.limit = limit;
  }

  /**
   * Counts a new connection until it closes, and has it closed if it is over the limit.
   *
   * @param channel the connection
   * @param now the current time
   */
  void register(Channel channel, Instant now) {
    lastOpenedAt = now;
    int count = openConnections.incrementAndGet();
    channel.closeFuture().addListener(closed -> openConnections.decrementAndGet());
    if (count <= limit) {
      return;
    }
    channel.attr(OVER_LIMIT).set(Boolean.TRUE);
    if (count > 2L * limit) {
      channel.close();
      return;
    }
    channel
        .eventLoop()
        .schedule(() -> channel.close(), OVER_LIMIT_CLOSE_DELAY.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Returns whether a connection was over the limit when it was opened. */
  boolean isOverLimit(Channel channel) {
    return channel.hasAttr(OVER_LIMIT);
  }

  /** Returns whether no connection has been opened within the period that ends now. */
  boolean hasNoNewConnections(Duration period, Instant now) {
    return lastOpenedAt.plus(period).isBefore(now);
  }

  /** Returns the number of open connections. */
  int openConnections() {
    return openConnections.get();
  }
}
