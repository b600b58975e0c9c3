package org.dragonflyhill.cli;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;

/** Commands that query the nodes. Stateless and thread-safe. */
final class NodeCommands {

  private NodeCommands() {}

  static List<Command> all() {
    return List.of(new Status(), new Explain());
  }

  /** Prints the status of every node. */
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
      return "print the configuration version of each node; exit 4 if one lags or does not respond";
    }

    @Override
    public Either<CommandError, ExitCode> run(
        List<String> arguments, CommandLine line, Session session) {
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

  /** Prints how a request was placed, and why. */
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
      return "explain how a recent request was placed, by the id in its response";
    }

    @Override
    public Either<CommandError, ExitCode> run(
        List<String> arguments, CommandLine line, Session session) {
      if (arguments.size() != 1 || !arguments.getFirst().matches("[0-9a-f-]{1,64}")) {
        return Either.left(CommandError.usage("expected one request id"));
      }
      return session.nodes().flatMap(nodes -> explain(session, nodes, arguments.getFirst()));
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
          CommandError.refused(
              requestId + ": no node that responded has a record of this request"));
    }
  }

  /**
   * Status of one node, or why it did not give one.
   *
   * @param address admin address of the node
   * @param status status of the node; empty if the call failed
   * @param error why the call failed; empty if it succeeded
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
