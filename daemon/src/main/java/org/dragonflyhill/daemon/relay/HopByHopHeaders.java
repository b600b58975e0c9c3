package org.dragonflyhill.daemon.relay;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** Hop-by-hop header fields, which apply to a single connection and must not be forwarded. */
final class HopByHopHeaders {

  private static final List<CharSequence> NAMES =
      List.of(
          HttpHeaderNames.CONNECTION,
          "keep-alive",
          "proxy-connection",
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT);

  private HopByHopHeaders() {}

  /** Returns the head of a request without what concerns the caller's connection only. */
  static DefaultHttpRequest copyRequest(HttpRequest request, int bodyBytes) {
    var head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
    HttpHeaders headers = head.headers();
    headers.add(request.headers());
    removeFrom(headers);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (bodyBytes > 0 || HttpUtil.isContentLengthSet(request)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
    } else if (HttpUtil.isTransferEncodingChunked(request)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, 0);
    }
    return head;
  }

  /** Removes the hop-by-hop fields, including those that the Connection field names. */
  static void removeFrom(HttpHeaders headers) {
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",")) {
        String trimmed = name.strip();
        if (!trimmed.isEmpty() && !isAlwaysForwarded(trimmed)) {
          headers.remove(trimmed);
        }
      }
    }
    NAMES.forEach(headers::remove);
  }

  /**
   * Returns whether a name listed in a Connection field is ignored: it frames or routes the
   * message, so a sender must not be able to have it removed, or is an option and no field.
   */
  private static boolean isAlwaysForwarded(String name) {
    return name.equalsIgnoreCase("content-length")
        || name.equalsIgnoreCase("host")
        || name.equalsIgnoreCase("close");
  }
}
