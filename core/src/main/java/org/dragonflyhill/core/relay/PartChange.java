package org.dragonflyhill.core.relay;

/**
 * A change of the KV cache that a runner or store, called holder here, has of prompt parts.
 * Immutable; no component is null.
 */
public sealed interface PartChange {

  /** Returns the runner or store. */
  Endpoint holder();

  /**
   * Nothing is known of the holder's parts any more, for example since it has restarted.
   *
   * @param holder the runner or store
   */
  record Cleared(Endpoint holder) implements PartChange {}

  /**
   * The holder has a number of tokens of a part.
   *
   * @param holder the runner or store
   * @param salt salt of the part
   * @param part id of the part
   * @param tokens number of tokens, 0 if the part was evicted
   */
  record Stored(Endpoint holder, String salt, String part, int tokens) implements PartChange {}

  /**
   * The holder, a runner, was sent a request for which it will prefill or fetch a part.
   *
   * @param holder the runner
   * @param salt salt of the part
   * @param part id of the part
   */
  record Expected(Endpoint holder, String salt, String part) implements PartChange {}
}
