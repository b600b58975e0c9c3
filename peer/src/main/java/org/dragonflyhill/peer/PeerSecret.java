package org.dragonflyhill.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes message authentication codes (MACs), by which two nodes prove to each other that they
 * know the shared secret without sending it.
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

  /** Creates an instance for the secret that all nodes share. */
  public PeerSecret(byte[] secret) {
    key = new SecretKeySpec(secret, ALGORITHM);
  }

  /** Returns a new nonce for one connection. */
  byte[] nonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return nonce;
  }

  /**
   * Returns the MAC that one side of a connection has to send. The MAC includes the side, so that
   * neither side can pass off the MAC of the other as its own.
   *
   * @param side the side that sends the MAC
   * @param challenge challenge of the listening node
   * @param node name of the connecting node
   * @param nonce nonce of the connecting node
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
      throw new IllegalStateException("this Java runtime does not support " + ALGORITHM, e);
    }
  }

  /** Compares two MACs in constant time, so that the time taken reveals nothing about them. */
  static boolean isSameMac(byte[] expected, byte[] actual) {
    return MessageDigest.isEqual(expected, actual);
  }

  /** Returns whether a nonce has the required length. */
  static boolean isValidNonce(byte[] nonce) {
    return nonce.length == NONCE_BYTES;
  }

  private static byte[] utf8(String value) {
    return value.getBytes(StandardCharsets.UTF_8);
  }

  private static void updateWithLength(Mac mac, byte[] value) {
    // Without the lengths, different sequences of values could yield the same input to the MAC.
    mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(value.length).array());
    mac.update(value);
  }

  /** Sides of a connection. */
  enum Side {
    CONNECTING,
    LISTENING
  }
}
