package org.dragonflyhill.daemon.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Header fields that concern one connection only. */
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

  /** Takes these fields off a head, and those that its Connection field names. */
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

  /** These frame or route a message whatever a Connection field says. */
  private static boolean isAlwaysForwarded(String name) {
    return name.equalsIgnoreCase("content-length")
        || name.equalsIgnoreCase("host")
        || name.equalsIgnoreCase("close");
  }
}
