package org.dragonflyhill.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.dragonflyhill.core.ChangeRecord;
import org.dragonflyhill.core.ConfigurationObject;
import org.dragonflyhill.core.ConfigurationState;
import org.dragonflyhill.ports.ConfigurationLog;

/** Commands that read an inventory file. Stateless and thread-safe. */
final class InventoryCommands {

  private static final String PRUNE = "prune";

  private InventoryCommands() {}

  static List<Command> all() {
    return List.of(new Apply(), new Diff());
  }

  private static Options pruneOption(Options options) {
    return options.addOption(
        ChangeSubmitter.flag(PRUNE, "delete the objects that are not in the inventory"));
  }

  private static Either<CommandError, List<ConfigurationObject>> readInventory(
      List<String> arguments) {
    if (arguments.size() != 1) {
      return Either.left(CommandError.usage("expected the path of one inventory file"));
    }
    String file = arguments.getFirst();
    try {
      var result = InventoryReader.read(file, Files.readString(Path.of(file)));
      return result.errors().isEmpty()
          ? Either.right(result.objects())
          : Either.left(CommandError.refused(String.join("\n", result.errors())));
    } catch (IOException e) {
      return Either.left(CommandError.refused(file + ": cannot be read: " + e));
    }
  }

  private static Optional<ChangeRecord> plan(
      ConfigurationState current,
      List<ConfigurationObject> desired,
      CommandLine line,
      Session session) {
    return ChangePlan.plan(
        current, desired, line.hasOption(PRUNE), UUID.randomUUID().toString(), session.author());
  }

  /** Changes the configuration to match an inventory. */
  private static final class Apply implements Command {

    @Override
    public String name() {
      return "apply";
    }

    @Override
    public String synopsis() {
      return "FILE [--prune] [--dry-run] [--wait]";
    }

    @Override
    public String description() {
      return "apply an inventory file to the configuration in one atomic change";
    }

    @Override
    public Options options() {
      return pruneOption(ChangeSubmitter.options());
    }

    @Override
    public Either<CommandError, ExitCode> run(
        List<String> arguments, CommandLine line, Session session) {
      return readInventory(arguments)
          .flatMap(
              desired ->
                  session
                      .configuration()
                      .flatMap(
                          log ->
                              Session.readConfiguration(log)
                                  .flatMap(
                                      current -> submit(log, current, desired, line, session))));
    }

    private static Either<CommandError, ExitCode> submit(
        ConfigurationLog log,
        ConfigurationState current,
        List<ConfigurationObject> desired,
        CommandLine line,
        Session session) {
      return new ChangeSubmitter(session)
          .submit(log, current, plan(current, desired, line, session), line);
    }
  }

  /** Prints how an inventory differs from the configuration. */
  private static final class Diff implements Command {

    @Override
    public String name() {
      return "diff";
    }

    @Override
    public String synopsis() {
      return "FILE [--prune]";
    }

    @Override
    public String description() {
      return "print how an inventory file differs from the configuration; exit 1 if it does";
    }

    @Override
    public Options options() {
      return pruneOption(new Options());
    }

    @Override
    public Either<CommandError, ExitCode> run(
        List<String> arguments, CommandLine line, Session session) {
      return readInventory(arguments)
          .flatMap(
              desired ->
                  session
                      .configuration()
                      .flatMap(Session::readConfiguration)
                      .map(current -> print(current, desired, line, session)));
    }

    private static ExitCode print(
        ConfigurationState current,
        List<ConfigurationObject> desired,
        CommandLine line,
        Session session) {
      Optional<ChangeRecord> change = plan(current, desired, line, session);
      if (change.isEmpty()) {
        session.output().print(List.of(), Output.Table.text("no difference"));
        return ExitCode.OK;
      }
      new ChangeSubmitter(session).printPlan(current, change.get());
      return ExitCode.REFUSED;
    }
  }
}
