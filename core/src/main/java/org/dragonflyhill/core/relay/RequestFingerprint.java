package org.dragonflyhill.core.relay;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies requests that are alike: those of one caller with the same method, host, path and
 * body. The query is left out, since a request that comes again may change it.
 *
 * <p>Stateless and thread-safe; no argument may be null.
 */
public final class RequestFingerprint {

  /** Part of the digest that is used, in bytes. */
  private static final int LENGTH = 16;

  private RequestFingerprint() {}

  /**
   * Returns the fingerprint of a request, 32 hexadecimal digits.
   *
   * @param caller who sends it
   * @param method HTTP method
   * @param host host that it names
   * @param target path, and the query if any
   * @param body its body, of which the remaining bytes are read
   */
  public static String of(
      String caller, String method, String host, String target, ByteBuffer body) {
    MessageDigest digest = sha256();
    for (String text : new String[] {caller, method, host, target.split("\\?", 2)[0]}) {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
      digest.update(bytes);
    }
    digest.update(body);
    return HexFormat.of().formatHex(digest.digest(), 0, LENGTH);
  }

  static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
