package org.dragonflyhill.daemon.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Reads requests and refuses those whose length could be read in two ways. */
final class StrictRequestDecoder extends HttpRequestDecoder {

  private final Runnable onBytes;

  StrictRequestDecoder(HttpDecoderConfig config, Runnable onBytes) {
    super(config);
    this.onBytes = onBytes;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    onBytes.run();
    super.channelRead(context, message);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
  }
}
