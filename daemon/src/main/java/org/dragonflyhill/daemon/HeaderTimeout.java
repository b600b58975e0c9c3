package org.dragonflyhill.daemon;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dragonflyhill.core.RefusalReason;

/**
 * Closes a connection whose caller takes too long to send the headers of a request.
 *
 * <p>Stands before the HTTP decoder in the pipeline, so that it sees the first byte of the headers.
 * Each connection has its own instance, which only the event loop of the connection uses.
 */
final class HeaderTimeout extends ChannelInboundHandlerAdapter {

  private static final AttributeKey<HeaderTimeout> HANDLER_KEY =
      AttributeKey.valueOf("header-timeout");
  private static final String TIMEOUT_RESPONSE =
      "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

  private final Duration timeout;
  private final NodeMetrics metrics;
  private boolean isHandlingRequest;
  private Optional<Future<?>> timer = Optional.empty();

  private HeaderTimeout(Duration timeout, NodeMetrics metrics) {
    this.timeout = timeout;
    this.metrics = metrics;
  }

  /** Adds a timeout to the pipeline of a new connection. */
  static void install(Channel channel, Duration timeout, NodeMetrics metrics) {
    HeaderTimeout handler = new HeaderTimeout(timeout, metrics);
    channel.attr(HANDLER_KEY).set(handler);
    channel.pipeline().addFirst(handler);
  }

  /** Stops the timer, because the headers of a request have been received. */
  static void headersReceived(Channel channel) {
    HeaderTimeout handler = channel.attr(HANDLER_KEY).get();
    channel.eventLoop().execute(handler::startRequest);
  }

  /** Lets the first byte of the next request start the timer again. */
  static void requestFinished(Channel channel) {
    HeaderTimeout handler = channel.attr(HANDLER_KEY).get();
    channel.eventLoop().execute(() -> handler.isHandlingRequest = false);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!isHandlingRequest && timer.isEmpty()) {
      timer =
          Optional.of(
              context
                  .executor()
                  .schedule(() -> expire(context), timeout.toMillis(), TimeUnit.MILLISECONDS));
    }
    context.fireChannelRead(message);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    cancelTimer();
    context.fireChannelInactive();
  }

  private void startRequest() {
    isHandlingRequest = true;
    cancelTimer();
  }

  private void cancelTimer() {
    timer.ifPresent(future -> future.cancel(false));
    timer = Optional.empty();
  }

  private void expire(ChannelHandlerContext context) {
    timer = Optional.empty();
    metrics.countRefusal(RefusalReason.REQUEST_TIMEOUT);
    context
        .writeAndFlush(Unpooled.copiedBuffer(TIMEOUT_RESPONSE, StandardCharsets.US_ASCII))
        .addListener(ChannelFutureListener.CLOSE);
  }
}
