package org.dragonflyhill.cli;

/** Exit codes of the command line program. Thread-safe. */
enum ExitCode {
  /** The command succeeded, or there was nothing to do. */
  OK(0),
  /** The command was refused and changed nothing, or {@code diff} found a difference. */
  REFUSED(1),
  /** The command line is invalid. */
  USAGE(2),
  /** The log or a node was unavailable, and nothing was changed. */
  UNAVAILABLE(3),
  /**
   * The change was accepted, but some nodes did not report its version in time; or {@code status}
   * found a node that lags or did not respond.
   */
  LAGGING(4),
  /** It is unknown whether the change was appended to the log. */
  UNKNOWN(5);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  int number() {
    return number;
  }
}
