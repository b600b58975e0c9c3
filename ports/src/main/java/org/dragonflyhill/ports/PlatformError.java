package org.dragonflyhill.ports;

/**
 * Error of a call to an external system, such as the log service, a runner or a store. The variants
 * differ in whether the call may have had an effect.
 *
 * <p>All variants are immutable and thread-safe; no component is null.
 */
public sealed interface PlatformError {

  /** Returns a description for operators. */
  String detail();

  /** Returns whether the call certainly had no effect. */
  default boolean isWithoutEffect() {
    return switch (this) {
      case NotSent notSent -> true;
      case Refused refused -> refused.status() == 429 || refused.status() == 503;
      case Lost lost -> false;
      case Malformed malformed -> false;
    };
  }

  /**
   * Nothing was sent, for example because no connection could be established.
   *
   * @param detail what happened
   */
  record NotSent(String detail) implements PlatformError {}

  /**
   * The request may have been sent, at least in part, but no complete response arrived.
   *
   * @param detail what happened
   */
  record Lost(String detail) implements PlatformError {}

  /**
   * The response has an error status.
   *
   * @param status HTTP status code
   * @param detail description with the response body
   */
  record Refused(int status, String detail) implements PlatformError {}

  /**
   * The response could not be parsed, or its content cannot be used.
   *
   * @param detail what is wrong with the response
   */
  record Malformed(String detail) implements PlatformError {}
}
