package org.dragonflyhill.cli;

import io.vavr.control.Either;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A command of the command line program. Thread-safe. */
interface Command {

  /** Returns the name of the command, which is the first argument of the program. */
  String name();

  /** Returns the arguments and main flags of the command, for the usage line. */
  String synopsis();

  /** Returns a short description of what the command does, for the help text. */
  String description();

  /** Returns the flags that are specific to this command. */
  default Options options() {
    return new Options();
  }

  /**
   * Runs the command.
   *
   * @param arguments the arguments after the name of the command, without flags
   * @param line the parsed command line with all flags
   * @param session connections and output
   */
  Either<CommandError, ExitCode> run(List<String> arguments, CommandLine line, Session session);
}
