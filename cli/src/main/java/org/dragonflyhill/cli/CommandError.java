package org.dragonflyhill.cli;

import org.dragonflyhill.ports.PlatformError;

/**
 * Why a command failed, with its exit code.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param exitCode exit code of the program
 * @param message one or more lines for the operator
 */
record CommandError(ExitCode exitCode, String message) {

  /** Returns an error of a command that was not understood. */
  static CommandError usage(String message) {
    return new CommandError(ExitCode.USAGE, message);
  }

  /** Returns an error of a command that was refused. */
  static CommandError refused(String message) {
    return new CommandError(ExitCode.REFUSED, message);
  }

  /** Turns an error of the platform into one of the command line. */
  static CommandError of(PlatformError error) {
    return switch (error) {
      case PlatformError.NotSent notSent ->
          new CommandError(ExitCode.UNAVAILABLE, "not reached: " + notSent.detail());
      case PlatformError.Lost lost ->
          new CommandError(ExitCode.UNAVAILABLE, "no answer: " + lost.detail());
      case PlatformError.Refused refused ->
          new CommandError(
              refused.status() >= 500 ? ExitCode.UNAVAILABLE : ExitCode.REFUSED, refused.detail());
      case PlatformError.Malformed malformed ->
          new CommandError(ExitCode.UNAVAILABLE, "not understood: " + malformed.detail());
    };
  }
}
