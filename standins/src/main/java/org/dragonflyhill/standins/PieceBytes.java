package org.dragonflyhill.standins;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Generates the simulated KV cache bytes of a piece. They depend only on the piece id and the
 * weight version, so a checker can tell whether a runner imported the correct bytes.
 *
 * <p>Stateless and thread-safe; no argument may be null.
 */
public final class PieceBytes {

  private static final int WORDS = 128;

  private PieceBytes() {}

  /** Returns the bytes of a piece. */
  public static byte[] of(String pieceId, String weightVersion) {
    ByteBuffer bytes = ByteBuffer.allocate(WORDS * Long.BYTES);
    for (int word = 0; word < WORDS; word++) {
      bytes.putLong(
          Hashing.komihash5_0()
              .hashStream()
              .putString(pieceId)
              .putString(weightVersion)
              .putInt(word)
              .getAsLong());
    }
    return bytes.array();
  }

  /** Returns the SHA-256 digest of the given bytes as lower-case hexadecimal digits. */
  public static String sha256(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is missing from the Java runtime", e);
    }
  }
}
