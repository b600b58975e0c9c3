package org.dragonflyhill.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * HTTP request encoder that writes a request target with the bytes that the decoder has read. It
 * represents each byte as one character, which Netty's encoder would write as UTF-8.
 */
final class TransparentRequestEncoder extends HttpRequestEncoder {

  @Override
  protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) {
    String line = request.method() + " " + request.uri() + " " + request.protocolVersion() + "\r\n";
    buffer.writeCharSequence(line, StandardCharsets.ISO_8859_1);
  }
}
