package org.dragonflyhill.standins;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The cache bytes that stand in for a piece: they depend on its id and weight version only, so that
 * a checker can tell what a runner imported.
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

  /** Returns the lower-case hexadecimal SHA-256 digest of some bytes. */
  public static String sha256(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is missing from the Java runtime", e);
    }
  }
}
