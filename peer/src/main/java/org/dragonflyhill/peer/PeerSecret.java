package org.dragonflyhill.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Proves to another node that this one holds the shared secret, without sending it.
 *
 * <pre>{@code
 * byte[] mac = secret.mac(PeerSecret.Side.CONNECTING, challenge, node, nonce);
 * }</pre>
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class PeerSecret {

  private static final String ALGORITHM = "HmacSHA256";
  private static final String PROTOCOL_LABEL = "dragonflyhill peer 1";
  private static final int NONCE_BYTES = 32;

  private final SecretKeySpec key;
  private final SecureRandom random = new SecureRandom();

  /** Creates a prover from the secret that all nodes share. */
  public PeerSecret(byte[] secret) {
    key = new SecretKeySpec(secret, ALGORITHM);
  }

  /** Returns random bytes for one connection. */
  byte[] nonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return nonce;
  }

  /**
   * Returns the code of one side of a connection. It names the side, so that a code cannot be sent
   * back to where it came from.
   */
  byte[] mac(Side side, PeerMessage.Challenge challenge, String node, byte[] nonce) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      updateWithLength(mac, utf8(PROTOCOL_LABEL));
      updateWithLength(mac, utf8(side.name()));
      updateWithLength(mac, utf8(challenge.node()));
      updateWithLength(mac, challenge.nonce());
      updateWithLength(mac, utf8(node));
      updateWithLength(mac, nonce);
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }

  /** Compares two codes in a time that does not depend on their content. */
  static boolean isSameMac(byte[] expected, byte[] actual) {
    return MessageDigest.isEqual(expected, actual);
  }

  /** Returns whether a nonce is long enough to be of use. */
  static boolean isValidNonce(byte[] nonce) {
    return nonce.length == NONCE_BYTES;
  }

  private static byte[] utf8(String value) {
    return value.getBytes(StandardCharsets.UTF_8);
  }

  private static void updateWithLength(Mac mac, byte[] value) {
    // With its length, two neighbouring values cannot be read as two others.
    mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(value.length).array());
    mac.update(value);
  }

  /** Sides of a connection. */
  enum Side {
    CONNECTING,
    LISTENING
  }
}
