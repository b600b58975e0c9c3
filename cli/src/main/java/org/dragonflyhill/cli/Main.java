package org.dragonflyhill.cli;

import io.vavr.control.Either;
import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The command line program {@code dragonflyhill} for operators. Stateless. */
public final class Main {

  private static final String PROGRAM = "dragonflyhill";
  private static final int DEFAULT_TIMEOUT_SECONDS = 10;

  private static final List<Command> COMMANDS =
      Stream.of(
              InventoryCommands.all(),
              ConfigurationCommands.all(),
              RequestCommands.all(),
              NodeCommands.all())
          .flatMap(List::stream)
          .toList();

  private Main() {}

  /** Runs a command and exits with its exit code. */
  public static void main(String[] args) {
    System.exit(run(args, System.getenv(), System.out, System.err).number());
  }

  /**
   * Runs a command.
   *
   * @param args name of the command, its arguments and flags
   * @param environment environment variables
   * @param out stream for results
   * @param err stream for error messages
   */
  static ExitCode run(
      String[] args, Map<String, String> environment, PrintStream out, PrintStream err) {
    if (args.length == 0 || args[0].equals("--help") || args[0].equals("help")) {
      printUsage(args.length == 0 ? err : out);
      return args.length == 0 ? ExitCode.USAGE : ExitCode.OK;
    }
    Optional<Command> command =
        COMMANDS.stream().filter(candidate -> candidate.name().equals(args[0])).findFirst();
    if (command.isEmpty()) {
      err.println(PROGRAM + ": \"" + args[0] + "\": no such command; see --help");
      return ExitCode.USAGE;
    }
    return parse(command.get(), args)
        .flatMap(line -> runParsed(command.get(), line, new Environment(environment), out))
        .fold(
            error -> {
              error.message().lines().forEach(text -> err.println(PROGRAM + ": " + text));
              return error.exitCode();
            },
            exitCode -> exitCode);
  }

  private static Either<CommandError, CommandLine> parse(Command command, String[] args) {
    Options options = commonOptions();
    command.options().getOptions().forEach(options::addOption);
    try {
      return Either.right(new DefaultParser(false).parse(options, args));
    } catch (ParseException e) {
      return Either.left(CommandError.usage(e.getMessage()));
    }
  }

  private static Either<CommandError, ExitCode> runParsed(
      Command command, CommandLine line, Environment environment, PrintStream out) {
    if (line.hasOption("help")) {
      printCommandUsage(command, out);
      return Either.right(ExitCode.OK);
    }
    return format(environment.value(line, "output").orElse("table"))
        .flatMap(
            format ->
                ChangeSubmitter.seconds(line, "timeout-seconds", DEFAULT_TIMEOUT_SECONDS)
                    .flatMap(
                        seconds ->
                            runInSession(
                                command,
                                line,
                                new Session(
                                    line,
                                    environment,
                                    Duration.ofSeconds(seconds),
                                    new Output(out, format),
                                    InstantSource.system()))));
  }

  private static Either<CommandError, ExitCode> runInSession(
      Command command, CommandLine line, Session opened) {
    try (Session session = opened) {
      List<String> arguments = line.getArgList();
      return command.run(arguments.subList(1, arguments.size()), line, session);
    }
  }

  private static Either<CommandError, Output.Format> format(String value) {
    for (Output.Format format : Output.Format.values()) {
      if (format.name().toLowerCase(Locale.ROOT).equals(value)) {
        return Either.right(format);
      }
    }
    return Either.left(CommandError.usage("--output: \"" + value + "\": expected table or json"));
  }

  private static Options commonOptions() {
    return new Options()
        .addOption(option("log", "HOST:PORT", "address of the log service"))
        .addOption(option("nodes", "HOST:PORT,...", "admin addresses of the nodes"))
        .addOption(
            option("timeout-seconds", "NUMBER", "time limit of a call, in seconds (default: 10)"))
        .addOption(option("author", "NAME", "author of a change (default: the name of the user)"))
        .addOption(option("output", "table|json", "format of the output (default: table)"))
        .addOption(ChangeSubmitter.flag("help", "print this text"));
  }

  private static Option option(String name, String argument, String description) {
    return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
  }

  private static void printUsage(PrintStream stream) {
    stream.println("usage: " + PROGRAM + " COMMAND [flags]");
    stream.println();
    for (Command command : COMMANDS) {
      stream.printf("  %-10s %s%n", command.name(), command.description());
    }
    stream.println();
    printOptions(commonOptions(), stream);
    stream.println();
    stream.println(
        "Environment variables can replace --log, --nodes, --author and --output:"
            + " DRAGONFLYHILL_LOG and so on.");
    stream.println("Exit: 0 done, 1 refused, 2 usage, 3 unavailable, 4 lagging, 5 unknown.");
  }

  private static void printCommandUsage(Command command, PrintStream stream) {
    stream.println("usage: " + PROGRAM + " " + command.name() + " " + command.synopsis());
    stream.println();
    stream.println(command.description());
    stream.println();
    printOptions(command.options(), stream);
    printOptions(commonOptions(), stream);
  }

  private static void printOptions(Options options, PrintStream stream) {
    for (Option option : options.getOptions()) {
      String argument = option.hasArg() && option.getArgName() != null ? option.getArgName() : "";
      stream.printf("  --%-14s %-14s %s%n", option.getLongOpt(), argument, option.getDescription());
    }
  }
}
