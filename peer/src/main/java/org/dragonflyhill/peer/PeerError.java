package org.dragonflyhill.peer;

/**
 * Why a peer could not be asked.
 *
 * <p>All variants are immutable and thread-safe; no component is null.
 */
public sealed interface PeerError {

  /** Returns one sentence for people, naming the address. */
  String detail();

  /**
   * No connection, no answer in time, or a connection that broke.
   *
   * @param detail what happened
   */
  record Unreachable(String detail) implements PeerError {}

  /**
   * The peer does not hold the secret.
   *
   * @param detail what happened
   */
  record NotAuthenticated(String detail) implements PeerError {}

  /**
   * The peer sent something that makes no sense.
   *
   * @param detail what was wrong
   */
  record Malformed(String detail) implements PeerError {}
}
