package org.dragonflyhill.ports;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;

/**
 * Passes I/O errors of writes on as exceptions of the channel, before the channel becomes inactive.
 *
 * <p>Netty reports a failed write to its promise only and then closes the channel. To an HTTP
 * client that looks as if the server had closed the connection in order, which ends a response
 * without a length or chunks as complete. The handler must be the first of its pipeline. Stateless
 * and thread-safe.
 */
@ChannelHandler.Sharable
public final class WriteErrorHandler extends ChannelOutboundHandlerAdapter {

  /** The handler, which all pipelines share. */
  public static final WriteErrorHandler INSTANCE = new WriteErrorHandler();

  private WriteErrorHandler() {}

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    ChannelPromise reporting = promise.unvoid();
    reporting.addListener(
        written -> {
          if (isIoError(written.cause())) {
            context.fireExceptionCaught(written.cause());
          }
        });
    context.write(message, reporting);
  }

  /** A write that was pending when the connection was closed in order is not an error. */
  private static boolean isIoError(Throwable cause) {
    return cause instanceof IOException && !(cause instanceof ClosedChannelException);
  }
}
