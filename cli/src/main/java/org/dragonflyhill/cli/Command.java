package org.dragonflyhill.cli;

import io.vavr.control.Either;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** One command of the command line. Thread-safe. */
interface Command {

  /** Returns the first word of the command. */
  String name();

  /** Returns the words that follow, for the usage line. */
  String synopsis();

  /** Returns one sentence on what it does. */
  String description();

  /** Returns its own flags. */
  default Options options() {
    return new Options();
  }

  /**
   * Runs it.
   *
   * @param words the words behind the command's name
   * @param line all flags
   * @param session connections and output
   */
  Either<CommandError, ExitCode> run(List<String> words, CommandLine line, Session session);
}
