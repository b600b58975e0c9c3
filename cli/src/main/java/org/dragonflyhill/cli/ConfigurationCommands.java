package org.dragonflyhill.cli;

import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.dragonflyhill.core.ChangeRecord;
import org.dragonflyhill.core.ConfigurationObject;
import org.dragonflyhill.core.ConfigurationObject.AdministrativeState;
import org.dragonflyhill.core.ConfigurationState;
import org.dragonflyhill.core.ObjectKey;
import org.dragonflyhill.core.ObjectKind;
import org.dragonflyhill.ports.ConfigurationLog;
import org.dragonflyhill.ports.Json;

/**
 * Commands that read the configuration, or change it without an inventory file. Stateless and
 * thread-safe.
 */
final class ConfigurationCommands {

  private ConfigurationCommands() {}

  static List<Command> all() {
    return List.of(
        new Get(),
        new History(),
        new Rollback(),
        new SetState("drain", AdministrativeState.DRAINING),
        new SetState("undrain", AdministrativeState.ACTIVE));
  }

  /** Parses {@code KIND/NAME}, or {@code KIND} as a key with an empty name. */
  private static Either<CommandError, ObjectKey> parseKey(String argument) {
    String[] parts = argument.split("/", 2);
    String kindName = parts[0].toUpperCase(Locale.ROOT).replace('-', '_');
    for (ObjectKind kind : ObjectKind.values()) {
      if (kind.name().equals(kindName)) {
        return Either.right(new ObjectKey(kind, parts.length == 2 ? parts[1] : ""));
      }
    }
    return Either.left(
        CommandError.usage(
            "\""
                + argument
                + "\": expected one of "
                + List.of(ObjectKind.values()).toString().toLowerCase(Locale.ROOT)));
  }

  /** Prints objects of the configuration. */
  private static final class Get implements Command {

    @Override
    public String name() {
      return "get";
    }

    @Override
    public String synopsis() {
      return "[KIND[/NAME]]";
    }

    @Override
    public String description() {
      return "print the objects of the configuration";
    }

    @Override
    public Either<CommandError, ExitCode> run(
        List<String> arguments, CommandLine line, Session session) {
      if (arguments.size() > 1) {
        return Either.left(CommandError.usage("expected at most one KIND[/NAME]"));
      }
      if (arguments.isEmpty()) {
        return get(session, Optional.empty());
      }
      return parseKey(arguments.getFirst()).flatMap(key -> get(session, Optional.of(key)));
    }

    private static Either<CommandError, ExitCode> get(
        Session session, Optional<ObjectKey> selector) {
      return session
          .configuration()
          .flatMap(Session::readConfiguration)
          .flatMap(state -> print(session, state, selector));
    }

    private static Either<CommandError, ExitCode> print(
        Session session, ConfigurationState state, Optional<ObjectKey> selector) {
      var found =
          state.objects().entrySet().stream()
              .filter(entry -> selector.map(key -> isSelected(key, entry.getKey())).orElse(true))
              .map(java.util.Map.Entry::getValue)
              .toList();
      if (found.isEmpty() && selector.filter(key -> !key.name().isEmpty()).isPresent()) {
        return Either.left(CommandError.refused(selector.get() + ": no such object"));
      }
      List<List<String>> rows =
          found.stream()
              .map(
                  versioned ->
                      List.of(
                          versioned.object().key().toString(),
                          String.valueOf(versioned.offset()),
                          Json.write(versioned.object())))
              .toList();
      session.output().print(found, new Output.Table(List.of("OBJECT", "VERSION", "VALUE"), rows));
      return Either.right(ExitCode.OK);
    }

    private static boolean isSelected(ObjectKey selector, ObjectKey key) {
      return selector.kind() == key.kind()
          && (selector.name().isEmpty() || selector.name().equals(key.name()));
    }
  }

  /** Lists the changes in the log. */
  private static final class History implements Command {

    @Override
    public String name() {
      return "history";
    }

    @Override
    public String synopsis() {
      return "";
    }

    @Override
    public String description() {
      return "list the changes in the log, accepted or rejected";
    }

    @Override
    public Either<CommandError, ExitCode> run(
        List<String> arguments, CommandLine line, Session session) {
      return session
          .log()
          .flatMap(log -> new HistoryReader(log).revisions())
          .map(revisions -> print(session, revisions));
    }

    private static ExitCode print(Session session, List<HistoryReader.Revision> revisions) {
      List<ConfigurationState.ChangeDecision> decisions =
          revisions.stream().map(HistoryReader.Revision::decision).toList();
      List<List<String>> rows =
          decisions.stream()
              .map(
                  decision ->
                      List.of(
                          String.valueOf(decision.offset()),
                          decision.changeId(),
                          decision.author(),
                          decision.isAccepted()
                              ? "accepted"
                              : "rejected: " + String.join("; ", decision.rejections())))
              .toList();
      session
          .output()
          .print(
              decisions,
              new Output.Table(List.of("VERSION", "CHANGE", "AUTHOR", "DECISION"), rows));
      return ExitCode.OK;
    }
  }

  /** Restores the configuration of an earlier version by a new change. */
  private static final class Rollback implements Command {

    @Override
    public String name() {
      return "rollback";
    }

    @Override
    public String synopsis() {
      return "VERSION [--dry-run] [--wait]";
    }

    @Override
    public String description() {
      return "restore the configuration of an earlier version by a new change";
    }

    @Override
    public Options options() {
      return ChangeSubmitter.options();
    }

    @Override
    public Either<CommandError, ExitCode> run(
        List<String> arguments, CommandLine line, Session session) {
      if (arguments.size() != 1 || !arguments.getFirst().matches("[0-9]{1,18}")) {
        return Either.left(CommandError.usage("expected one VERSION, a whole number"));
      }
      long version = Long.parseLong(arguments.getFirst());
      return session
          .log()
          .flatMap(
              log ->
                  new HistoryReader(log)
                      .revisions()
                      .flatMap(
                          revisions ->
                              rollBack(
                                  new ConfigurationLog(log), revisions, version, line, session)));
    }

    private static Either<CommandError, ExitCode> rollBack(
        ConfigurationLog log,
        List<HistoryReader.Revision> revisions,
        long version,
        CommandLine line,
        Session session) {
      Optional<ConfigurationState> earlier =
          revisions.stream()
              .filter(revision -> revision.decision().offset() == version)
              .filter(revision -> revision.decision().isAccepted())
              .map(HistoryReader.Revision::state)
              .findFirst();
      if (earlier.isEmpty()) {
        return Either.left(
            CommandError.refused(version + ": no accepted change has this version; see history"));
      }
      List<ConfigurationObject> desired =
          earlier.get().objects().values().stream()
              .map(ConfigurationState.VersionedObject::object)
              .toList();
      return Session.readConfiguration(log)
          .flatMap(current -> submit(log, current, desired, line, session));
    }

    private static Either<CommandError, ExitCode> submit(
        ConfigurationLog log,
        ConfigurationState current,
        List<ConfigurationObject> desired,
        CommandLine line,
        Session session) {
      Optional<ChangeRecord> change =
          ChangePlan.plan(current, desired, true, UUID.randomUUID().toString(), session.author());
      return new ChangeSubmitter(session).submit(log, current, change, line);
    }
  }

  /** Sets the administrative state of an endpoint, to drain it or to undo that. */
  private static final class SetState implements Command {

    private final String name;
    private final AdministrativeState state;

    SetState(String name, AdministrativeState state) {
      this.name = name;
      this.state = state;
    }

    @Override
    public String name() {
      return name;
    }

    @Override
    public String synopsis() {
      return "runner/NAME|store/NAME|service/NAME [--dry-run] [--wait]";
    }

    @Override
    public String description() {
      return state == AdministrativeState.DRAINING
          ? "stop sending new requests to an endpoint; running requests finish"
          : "resume sending new requests to an endpoint";
    }

    @Override
    public Options options() {
      return ChangeSubmitter.options();
    }

    @Override
    public Either<CommandError, ExitCode> run(
        List<String> arguments, CommandLine line, Session session) {
      if (arguments.size() != 1) {
        return Either.left(CommandError.usage("expected one KIND/NAME"));
      }
      return parseKey(arguments.getFirst())
          .flatMap(
              key ->
                  session
                      .configuration()
                      .flatMap(
                          log ->
                              Session.readConfiguration(log)
                                  .flatMap(current -> setState(log, current, key, line, session))));
    }

    private Either<CommandError, ExitCode> setState(
        ConfigurationLog log,
        ConfigurationState current,
        ObjectKey key,
        CommandLine line,
        Session session) {
      return current
          .object(key)
          .map(Either::<CommandError, ConfigurationObject>right)
          .orElseGet(() -> Either.left(CommandError.refused(key + ": no such object")))
          .flatMap(this::withState)
          .flatMap(object -> submit(log, current, object, line, session));
    }

    private static Either<CommandError, ExitCode> submit(
        ConfigurationLog log,
        ConfigurationState current,
        ConfigurationObject object,
        CommandLine line,
        Session session) {
      Optional<ChangeRecord> change =
          ChangePlan.plan(
              current, List.of(object), false, UUID.randomUUID().toString(), session.author());
      return new ChangeSubmitter(session).submit(log, current, change, line);
    }

    private Either<CommandError, ConfigurationObject> withState(ConfigurationObject object) {
      return switch (object) {
        case ConfigurationObject.Runner runner -> Either.right(runner.withState(state));
        case ConfigurationObject.Store store -> Either.right(store.withState(state));
        case ConfigurationObject.Service service -> Either.right(service.withState(state));
        default -> Either.left(CommandError.refused(object.key() + ": cannot be drained"));
      };
    }
  }
}
