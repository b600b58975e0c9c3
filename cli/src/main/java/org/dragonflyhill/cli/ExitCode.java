package org.dragonflyhill.cli;

/** Exit codes of the command line. Thread-safe. */
enum ExitCode {
  /** It was done, or there was nothing to do. */
  OK(0),
  /** It was refused, and nothing was changed; or a difference was found. */
  REFUSED(1),
  /** The command was not understood. */
  USAGE(2),
  /** The log or a node could not be reached, and nothing was changed. */
  UNAVAILABLE(3),
  /** The change was accepted, and some nodes did not report it in time. */
  LAGGING(4),
  /** It is not known whether the change was appended. */
  UNKNOWN(5);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  int number() {
    return number;
  }
}
