package org.dragonflyhill.cli;

import org.dragonflyhill.ports.PlatformError;

/**
 * Reason why a command failed, with the exit code of the program.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param exitCode exit code of the program
 * @param message one or more lines for the operator
 */
record CommandError(ExitCode exitCode, String message) {

  /** Returns an error for an invalid command line. */
  static CommandError usage(String message) {
    return new CommandError(ExitCode.USAGE, message);
  }

  /** Returns an error for a command that was refused. */
  static CommandError refused(String message) {
    return new CommandError(ExitCode.REFUSED, message);
  }

  /** Converts an error of a call to the log service or a node. */
  static CommandError of(PlatformError error) {
    return switch (error) {
      case PlatformError.NotSent notSent ->
          new CommandError(ExitCode.UNAVAILABLE, "request not sent: " + notSent.detail());
      case PlatformError.Lost lost ->
          new CommandError(ExitCode.UNAVAILABLE, "no response: " + lost.detail());
      case PlatformError.Refused refused ->
          new CommandError(
              refused.status() >= 500 ? ExitCode.UNAVAILABLE : ExitCode.REFUSED, refused.detail());
      case PlatformError.Malformed malformed ->
          new CommandError(ExitCode.UNAVAILABLE, "invalid response: " + malformed.detail());
    };
  }
}
