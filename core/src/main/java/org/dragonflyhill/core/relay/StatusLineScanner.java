package org.dragonflyhill.core.relay;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Finds the status line of an HTTP response where none may be: in the head or the body of another
 * response, which was cut off there.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class StatusLineScanner {

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]");

  /** Length of what the pattern matches, less one. */
  private static final int MAX_PARTIAL_MATCH = "HTTP/1.1 20".length();

  private String tail = "";

  /** Returns whether a text contains a status line. */
  public static boolean isIn(CharSequence text) {
    return STATUS_LINE.matcher(text).find();
  }

  /** Returns whether the bytes so far contain a status line, also one that is split over calls. */
  public boolean append(byte[] bytes) {
    String text = tail + new String(bytes, StandardCharsets.ISO_8859_1);
    tail = text.substring(Math.max(0, text.length() - MAX_PARTIAL_MATCH));
    return isIn(text);
  }
}
