package org.dragonflyhill.daemon.relay;

import io.netty.channel.IoHandlerFactory;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.IntSupplier;
import java.nio.channels.spi.SelectorProvider;
import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Records when an event loop looks for input. What it reads in one turn was not there when the turn
 * before looked for input, which bounds the time for which it may have lain unread.
 *
 * <p>Not thread-safe: after its construction it may be used on the event loop only.
 */
public final class PollTimes {

  private final LongSupplier nanoClock;
  private long polledNanos;
  private long polledBeforeNanos;

  /**
   * Creates a record that begins now.
   *
   * @param nanoClock clock in nanoseconds that never goes back, such as {@link System#nanoTime}
   */
  public PollTimes(LongSupplier nanoClock) {
    this.nanoClock = nanoClock;
    polledNanos = nanoClock.getAsLong();
    polledBeforeNanos = polledNanos;
  }

  /** Returns a factory for the only thread of an event loop group. */
  public IoHandlerFactory ioHandlerFactory() {
    return NioIoHandler.newFactory(
        SelectorProvider.provider(), () -> (supplier, hasTasks) -> poll(supplier, hasTasks));
  }

  private int poll(IntSupplier selectNow, boolean hasTasks) throws Exception {
    polledBeforeNanos = polledNanos;
    polledNanos = nanoClock.getAsLong();
    return hasTasks ? selectNow.get() : SelectStrategy.SELECT;
  }

  /** Returns the present time in nanoseconds, by the clock of this record. */
  long nanos() {
    return nanoClock.getAsLong();
  }

  /**
   * Returns the longest time for which input that is read now may have been readable. It includes
   * the time for which the event loop waited for input, which periodic tasks keep short.
   */
  Duration maxUnreadTime() {
    return Duration.ofNanos(nanoClock.getAsLong() - polledBeforeNanos);
  }
}
