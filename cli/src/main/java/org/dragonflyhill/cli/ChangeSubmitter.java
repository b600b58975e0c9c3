package org.dragonflyhill.cli;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.dragonflyhill.core.ChangeRecord;
import org.dragonflyhill.core.ConfigurationState;
import org.dragonflyhill.ports.ChangeOutcome;
import org.dragonflyhill.ports.ConfigurationLog;

/**
 * Submits a change of the configuration and reports its outcome: accepted, rejected, not appended
 * or unknown.
 *
 * <p>Immutable and thread-safe; no argument may be null.
 */
final class ChangeSubmitter {

  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
  private static final int DEFAULT_WAIT_SECONDS = 15;
  private static final int MAX_SECONDS = 3_600;

  private final Session session;

  ChangeSubmitter(Session session) {
    this.session = session;
  }

  /** Returns the flags of all commands that change the configuration. */
  static Options options() {
    return new Options()
        .addOption(flag("dry-run", "print what would change without changing anything"))
        .addOption(flag("wait", "wait until the change is in effect on every node"))
        .addOption(
            Option.builder()
                .longOpt("wait-seconds")
                .hasArg()
                .desc("how long to wait, in seconds (default: 15)")
                .get());
  }

  static Option flag(String name, String description) {
    return Option.builder().longOpt(name).desc(description).get();
  }

  /** Appends a change to the log or, with {@code --dry-run}, prints what it would change. */
  Either<CommandError, ExitCode> submit(
      ConfigurationLog log,
      ConfigurationState current,
      Optional<ChangeRecord> change,
      CommandLine line) {
    if (change.isEmpty()) {
      session.output().print(List.of(), Output.Table.text("nothing to change"));
      return Either.right(ExitCode.OK);
    }
    if (line.hasOption("dry-run")) {
      printPlan(current, change.get());
      return Either.right(ExitCode.OK);
    }
    return seconds(line, "wait-seconds", DEFAULT_WAIT_SECONDS)
        .flatMap(
            seconds ->
                toEither(log.submit(current, change.get()).block())
                    .flatMap(accepted -> printAccepted(accepted, line, seconds)));
  }

  /** Prints the objects that a change creates, replaces or deletes. */
  void printPlan(ConfigurationState current, ChangeRecord change) {
    List<PlannedAction> actions = new ArrayList<>();
    change
        .upserts()
        .forEach(
            object ->
                actions.add(
                    new PlannedAction(
                        current.object(object.key()).isPresent() ? "replace" : "create",
                        object.key().toString())));
    change.deletes().forEach(key -> actions.add(new PlannedAction("delete", key.toString())));
    List<List<String>> rows =
        actions.stream().map(action -> List.of(action.action(), action.object())).toList();
    session.output().print(actions, new Output.Table(List.of("ACTION", "OBJECT"), rows));
  }

  /** Parses the value of a flag that is a time in seconds. */
  static Either<CommandError, Integer> seconds(CommandLine line, String flag, int defaultSeconds) {
    String text = line.getOptionValue(flag, String.valueOf(defaultSeconds));
    try {
      int seconds = Integer.parseInt(text);
      if (seconds >= 1 && seconds <= MAX_SECONDS) {
        return Either.right(seconds);
      }
    } catch (NumberFormatException e) {
      // Handled below like a number that is out of range.
    }
    return Either.left(
        CommandError.usage(
            "--" + flag + ": \"" + text + "\": expected a whole number from 1 to " + MAX_SECONDS));
  }

  private static Either<CommandError, ChangeOutcome.Accepted> toEither(ChangeOutcome outcome) {
    return switch (outcome) {
      case ChangeOutcome.Accepted accepted -> Either.right(accepted);
      case ChangeOutcome.Rejected rejected ->
          Either.left(CommandError.refused(String.join("\n", rejected.reasons())));
      case ChangeOutcome.NotAppended notAppended ->
          Either.left(
              new CommandError(
                  ExitCode.UNAVAILABLE,
                  "change not appended, safe to submit again: " + notAppended.detail()));
      case ChangeOutcome.Unknown unknown ->
          Either.left(
              new CommandError(
                  ExitCode.UNKNOWN,
                  "unknown whether change "
                      + unknown.changeId()
                      + " was appended; check history: "
                      + unknown.detail()));
    };
  }

  private Either<CommandError, ExitCode> printAccepted(
      ChangeOutcome.Accepted accepted, CommandLine line, int waitSeconds) {
    session.output().print(accepted, Output.Table.text("accepted as version " + accepted.offset()));
    if (!line.hasOption("wait")) {
      return Either.right(ExitCode.OK);
    }
    return session.nodes().flatMap(nodes -> awaitVersion(nodes, accepted.offset(), waitSeconds));
  }

  private Either<CommandError, ExitCode> awaitVersion(
      List<String> nodes, long version, int waitSeconds) {
    Instant end = session.clock().instant().plusSeconds(waitSeconds);
    List<String> lagging = laggingNodes(nodes, version);
    while (!lagging.isEmpty() && session.clock().instant().isBefore(end)) {
      reactor.core.publisher.Mono.delay(POLL_INTERVAL).block();
      lagging = laggingNodes(nodes, version);
    }
    return lagging.isEmpty()
        ? Either.right(ExitCode.OK)
        : Either.left(
            new CommandError(
                ExitCode.LAGGING,
                "accepted, but not in effect after "
                    + waitSeconds
                    + " s on: "
                    + String.join(", ", lagging)));
  }

  private List<String> laggingNodes(List<String> nodes, long version) {
    return nodes.stream()
        .filter(
            node ->
                session
                    .get(node, "/admin/status", NodeStatus.class)
                    .map(status -> status.configurationVersion() < version)
                    .getOrElse(true))
        .toList();
  }

  private record PlannedAction(String action, String object) {}
}
