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

/** Commands that read the configuration or change it without a file. Stateless, thread-safe. */
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

  /** Reads {@code KIND/NAME} or {@code KIND}. */
  private static Either<CommandError, ObjectKey> parseKey(String word) {
    String[] parts = word.split("/", 2);
    String wanted = parts[0].toUpperCase(Locale.ROOT).replace('-', '_');
    for (ObjectKind kind : ObjectKind.values()) {
      if (kind.name().equals(wanted)) {
        return Either.right(new ObjectKey(kind, parts.length == 2 ? parts[1] : ""));
      }
    }
    return Either.left(
        CommandError.usage(
            "\""
                + word
                + "\": expected one of "
                + List.of(ObjectKind.values()).toString().toLowerCase(Locale.ROOT)));
  }

  /** Prints objects. */
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
        List<String> words, CommandLine line, Session session) {
      if (words.size() > 1) {
        return Either.left(CommandError.usage("expected at most one KIND[/NAME]"));
      }
      if (words.isEmpty()) {
        return get(session, Optional.empty());
      }
      return parseKey(words.getFirst()).flatMap(key -> get(session, Optional.of(key)));
    }

    private static Either<CommandError, ExitCode> get(Session session, Optional<ObjectKey> wanted) {
      return session
          .configuration()
          .flatMap(Session::readConfiguration)
          .flatMap(state -> print(session, state, wanted));
    }

    private static Either<CommandError, ExitCode> print(
        Session session, ConfigurationState state, Optional<ObjectKey> wanted) {
      var found =
          state.objects().entrySet().stream()
              .filter(entry -> wanted.map(key -> isSelected(key, entry.getKey())).orElse(true))
              .map(java.util.Map.Entry::getValue)
              .toList();
      if (found.isEmpty() && wanted.filter(key -> !key.name().isEmpty()).isPresent()) {
        return Either.left(CommandError.refused(wanted.get() + ": no such object"));
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

    private static boolean isSelected(ObjectKey wanted, ObjectKey key) {
      return wanted.kind() == key.kind()
          && (wanted.name().isEmpty() || wanted.name().equals(key.name()));
    }
  }

  /** Lists changes. */
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
      return "list the changes that the log keeps, accepted or not";
    }

    @Override
    public Either<CommandError, ExitCode> run(
        List<String> words, CommandLine line, Session session) {
      return session
          .log()
          .flatMap(log -> new HistoryReader(log).revisions())
          .map(steps -> print(session, steps));
    }

    private static ExitCode print(Session session, List<HistoryReader.Revision> steps) {
      List<ConfigurationState.ChangeDecision> decisions =
          steps.stream().map(HistoryReader.Revision::decision).toList();
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

  /** Returns to an earlier version by a new change. */
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
      return "make the configuration what it was at a version, by a new change";
    }

    @Override
    public Options options() {
      return ChangeSubmitter.options();
    }

    @Override
    public Either<CommandError, ExitCode> run(
        List<String> words, CommandLine line, Session session) {
      if (words.size() != 1 || !words.getFirst().matches("[0-9]{1,18}")) {
        return Either.left(CommandError.usage("expected one VERSION, a whole number"));
      }
      long version = Long.parseLong(words.getFirst());
      return session
          .log()
          .flatMap(
              log ->
                  new HistoryReader(log)
                      .revisions()
                      .flatMap(
                          steps -> make(new ConfigurationLog(log), steps, version, line, session)));
    }

    private static Either<CommandError, ExitCode> make(
        ConfigurationLog log,
        List<HistoryReader.Revision> steps,
        long version,
        CommandLine line,
        Session session) {
      Optional<ConfigurationState> earlier =
          steps.stream()
              .filter(step -> step.decision().offset() == version)
              .filter(step -> step.decision().isAccepted())
              .map(HistoryReader.Revision::state)
              .findFirst();
      if (earlier.isEmpty()) {
        return Either.left(
            CommandError.refused(version + ": no accepted change has this version; see history"));
      }
      List<ConfigurationObject> wanted =
          earlier.get().objects().values().stream()
              .map(ConfigurationState.VersionedObject::object)
              .toList();
      return Session.readConfiguration(log).flatMap(now -> make(log, now, wanted, line, session));
    }

    private static Either<CommandError, ExitCode> make(
        ConfigurationLog log,
        ConfigurationState current,
        List<ConfigurationObject> wanted,
        CommandLine line,
        Session session) {
      Optional<ChangeRecord> change =
          ChangePlan.plan(current, wanted, true, UUID.randomUUID().toString(), session.author());
      return new ChangeSubmitter(session).submit(log, current, change, line);
    }
  }

  /** Takes an endpoint out of service, or back. */
  private static final class SetState implements Command {

    private final String name;
    private final AdministrativeState state;

    SetState(String name, AdministrativeState wanted) {
      this.name = name;
      this.state = wanted;
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
          ? "give an endpoint no new work; what runs there finishes"
          : "give an endpoint new work again";
    }

    @Override
    public Options options() {
      return ChangeSubmitter.options();
    }

    @Override
    public Either<CommandError, ExitCode> run(
        List<String> words, CommandLine line, Session session) {
      if (words.size() != 1) {
        return Either.left(CommandError.usage("expected one KIND/NAME"));
      }
      return parseKey(words.getFirst())
          .flatMap(
              key ->
                  session
                      .configuration()
                      .flatMap(
                          log ->
                              Session.readConfiguration(log)
                                  .flatMap(now -> make(log, now, key, line, session))));
    }

    private Either<CommandError, ExitCode> make(
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
          .flatMap(object -> change(log, current, object, line, session));
    }

    private static Either<CommandError, ExitCode> change(
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
