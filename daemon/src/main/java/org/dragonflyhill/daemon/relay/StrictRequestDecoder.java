package org.dragonflyhill.daemon.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * HTTP request decoder that rejects requests with both Transfer-Encoding and Content-Length.
 * Parsers disagree on the length of such requests, which allows request smuggling.
 */
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
