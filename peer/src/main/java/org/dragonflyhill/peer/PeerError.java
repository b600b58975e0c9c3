package org.dragonflyhill.peer;

/**
 * Reason why a request to a peer failed.
 *
 * <p>All variants are immutable and thread-safe; no component is null.
 */
public sealed interface PeerError {

  /** Returns a description for operators. */
  String detail();

  /**
   * The connection could not be established or failed, or the peer did not reply in time.
   *
   * @param detail what happened
   */
  record Unreachable(String detail) implements PeerError {}

  /**
   * The peer could not prove that it knows the shared secret.
   *
   * @param detail what happened
   */
  record NotAuthenticated(String detail) implements PeerError {}

  /**
   * The peer sent a message that is invalid or was not expected.
   *
   * @param detail what is wrong with the message
   */
  record Malformed(String detail) implements PeerError {}
}
