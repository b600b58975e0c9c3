package org.dragonflyhill.cli;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;

/** Commands that ask the nodes. Stateless and thread-safe. */
final class NodeCommands {

  private NodeCommands() {}

  static List<Command> all() {
    return List.of(new Status(), new Explain());
  }

  /** Prints the state of every node. */
  private static final class Status implements Command {

    @Override
    public String name() {
      return "status";
    }

    @Override
    public String synopsis() {
      return "";
    }

    @Override
    public String description() {
      return "print every node with its configuration version; exit 4 if one lags or is silent";
    }

    @Override
    public Either<CommandError, ExitCode> run(
        List<String> words, CommandLine line, Session session) {
      return session.nodes().map(nodes -> print(session, nodes));
    }

    private static ExitCode print(Session session, List<String> nodes) {
      List<Row> rows = new ArrayList<>();
      for (String node : nodes) {
        rows.add(
            session
                .get(node, "/admin/status", NodeStatus.class)
                .fold(
                    error -> new Row(node, Optional.empty(), error.message()),
                    status -> new Row(node, Optional.of(status), "")));
      }
      long newest = rows.stream().mapToLong(Row::version).max().orElse(-1);
      session
          .output()
          .print(
              rows,
              new Output.Table(
                  List.of("ADDRESS", "NODE", "ZONE", "VERSION", "RUNNING", "STATE"),
                  rows.stream().map(row -> row.cells(newest)).toList()));
      boolean allCurrent = rows.stream().allMatch(row -> row.version() == newest && newest >= 0);
      return allCurrent ? ExitCode.OK : ExitCode.LAGGING;
    }
  }

  /** Says why a request went where it went. */
  private static final class Explain implements Command {

    @Override
    public String name() {
      return "explain";
    }

    @Override
    public String synopsis() {
      return "REQUEST";
    }

    @Override
    public String description() {
      return "say why a recent request went where it went, by the id in its reply";
    }

    @Override
    public Either<CommandError, ExitCode> run(
        List<String> words, CommandLine line, Session session) {
      if (words.size() != 1 || !words.getFirst().matches("[0-9a-f-]{1,64}")) {
        return Either.left(CommandError.usage("expected one request id"));
      }
      return session.nodes().flatMap(nodes -> explain(session, nodes, words.getFirst()));
    }

    private static Either<CommandError, ExitCode> explain(
        Session session, List<String> nodes, String requestId) {
      for (String node : nodes) {
        var found = session.get(node, "/admin/explain/" + requestId, Explanation.class);
        if (found.isRight()) {
          session.output().print(found.get(), found.get().table(node));
          return Either.right(ExitCode.OK);
        }
      }
      return Either.left(
          CommandError.refused(requestId + ": no node that answered remembers this request"));
    }
  }

  /**
   * One node.
   *
   * @param address admin address
   * @param status what it said; empty where it was silent
   * @param error why it was silent
   */
  private record Row(String address, Optional<NodeStatus> status, String error) {

    long version() {
      return status.map(NodeStatus::configurationVersion).orElse(-1L);
    }

    List<String> cells(long newest) {
      if (status.isEmpty()) {
        return List.of(address, "?", "?", "?", "?", "silent: " + error);
      }
      NodeStatus reported = status.get();
      String ready =
          reported.notReadyReason().map(reason -> "not ready: " + reason).orElse("ready");
      String lag = reported.configurationVersion() < newest ? ", lagging" : "";
      return List.of(
          address,
          reported.node(),
          reported.availabilityZone(),
          String.valueOf(reported.configurationVersion()),
          String.valueOf(reported.runningRequests()),
          ready + lag);
    }
  }
}
