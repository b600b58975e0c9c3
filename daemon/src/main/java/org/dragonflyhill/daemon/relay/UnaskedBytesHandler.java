package org.dragonflyhill.daemon.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;

/**
 * Closes a connection that receives bytes while no request is in progress, before a decoder keeps
 * them as the beginning of the next response.
 */
final class UnaskedBytesHandler extends ChannelInboundHandlerAdapter {

  private final BooleanSupplier isRequestInProgress;
  private final Runnable onUnaskedBytes;

  UnaskedBytesHandler(BooleanSupplier isRequestInProgress, Runnable onUnaskedBytes) {
    this.isRequestInProgress = isRequestInProgress;
    this.onUnaskedBytes = onUnaskedBytes;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (isRequestInProgress.getAsBoolean()) {
      context.fireChannelRead(message);
    } else {
      ReferenceCountUtil.release(message);
      onUnaskedBytes.run();
      context.close();
    }
  }
}
