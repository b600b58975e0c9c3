package org.dragonflyhill.ports;

/**
 * Why a call to a system around the nodes failed, told apart by whether it may have had an effect.
 *
 * <p>All variants are immutable and thread-safe; no component is null.
 */
public sealed interface PlatformError {

  /** Returns one sentence for people, naming the address. */
  String detail();

  /** Returns whether it is certain that the call had no effect. */
  default boolean isWithoutEffect() {
    return switch (this) {
      case NotSent notSent -> true;
      case Refused refused -> refused.status() == 429 || refused.status() == 503;
      case Lost lost -> false;
      case Malformed malformed -> false;
    };
  }

  /**
   * No connection was made, so that nothing was sent.
   *
   * @param detail what happened
   */
  record NotSent(String detail) implements PlatformError {}

  /**
   * The request was sent, at least in part, and no whole answer came.
   *
   * @param detail what happened
   */
  record Lost(String detail) implements PlatformError {}

  /**
   * The system answered with an error.
   *
   * @param status HTTP status
   * @param detail body of the answer
   */
  record Refused(int status, String detail) implements PlatformError {}

  /**
   * The answer could not be read.
   *
   * @param detail what was wrong with it
   */
  record Malformed(String detail) implements PlatformError {}
}
