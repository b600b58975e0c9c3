package org.dragonflyhill.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.dragonflyhill.core.relay.StatusLineScanner;

/**
 * HTTP response decoder that rejects heads which two responses have run into, because a runner cut
 * the first one off, and invalid status codes. The former have the status of one response and the
 * rest of another; the latter have no meaning that a caller or this node could rely on.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

  /** Three digits, the first of which is the class of the status (RFC 9110, section 15). */
  private static final Pattern STATUS_CODE = Pattern.compile("[1-5][0-9][0-9]");

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    if (!STATUS_CODE.matcher(initialLine[1]).matches()) {
      throw new IllegalArgumentException("invalid status code " + initialLine[1]);
    }
    return super.createMessage(initialLine);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    int before = out.size();
    super.decode(context, buffer, out);
    for (Object message : out.subList(before, out.size())) {
      if (message instanceof HttpResponse response && response.decoderResult().isSuccess()) {
        findError(response)
            .map(IllegalArgumentException::new)
            .ifPresent(error -> response.setDecoderResult(DecoderResult.failure(error)));
      }
    }
  }

  private static Optional<String> findError(HttpResponse response) {
    HttpVersion version = response.protocolVersion();
    if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
      return Optional.of("protocol " + version);
    }
    if (StatusLineScanner.isIn(response.status().reasonPhrase())) {
      return Optional.of("status line in the reason phrase");
    }
    for (Map.Entry<String, String> field : response.headers()) {
      if (field.getKey().indexOf('/') >= 0 || StatusLineScanner.isIn(field.getValue())) {
        return Optional.of("status line in header field " + field.getKey());
      }
    }
    return Optional.empty();
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
  }
}
