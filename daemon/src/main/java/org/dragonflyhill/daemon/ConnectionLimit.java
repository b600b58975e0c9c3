package org.dragonflyhill.daemon;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bounds the connections of callers: those over the limit may hear why, and are closed soon.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class ConnectionLimit {

  /** Time in which a connection over the limit can send a request and be told the reason. */
  private static final Duration GRACE = Duration.ofSeconds(1);

  private static final AttributeKey<Boolean> IS_OVER =
      AttributeKey.valueOf("connection-over-limit");

  private final int limit;
  private final AtomicInteger open = new AtomicInteger();
  private volatile Instant lastOpened = Instant.EPOCH;

  /** Creates a limit. */
  ConnectionLimit(int limit) {
    this.limit = limit;
  }

  /**
   * Counts a new connection until it closes.
   *
   * @param channel the connection
   * @param now the present time
   */
  void opened(Channel channel, Instant now) {
    lastOpened = now;
    int count = open.incrementAndGet();
    channel.closeFuture().addListener(closed -> open.decrementAndGet());
    if (count <= limit) {
      return;
    }
    channel.attr(IS_OVER).set(Boolean.TRUE);
    if (count > 2L * limit) {
      channel.close();
      return;
    }
    channel.eventLoop().schedule(() -> channel.close(), GRACE.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Returns whether a connection is over the limit. */
  boolean isOver(Channel channel) {
    return channel.hasAttr(IS_OVER);
  }

  /** Returns whether no connection was opened for some time. */
  boolean isQuiet(Duration time, Instant now) {
    return lastOpened.plus(time).isBefore(now);
  }

  /** Returns the number of open connections. */
  int open() {
    return open.get();
  }
}
