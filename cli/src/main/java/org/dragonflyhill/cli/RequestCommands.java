package org.dragonflyhill.cli;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.dragonflyhill.ports.Json;

/** Commands for non-repeatable requests. Stateless and thread-safe. */
final class RequestCommands {

  private RequestCommands() {}

  static List<Command> all() {
    return List.of(new Requests());
  }

  /** Lists, shows and resolves non-repeatable requests. */
  private static final class Requests implements Command {

    private static final String STATE = "state";
    private static final String ORGANISATION = "organisation";
    private static final String EXECUTED = "executed";

    @Override
    public String name() {
      return "requests";
    }

    @Override
    public String synopsis() {
      return "list [--state unknown|all] | show KEY --organisation NAME"
          + " | resolve KEY --organisation NAME --executed yes|no";
    }

    @Override
    public String description() {
      return "list non-repeatable requests whose outcome is unknown, and resolve them";
    }

    @Override
    public Options options() {
      return new Options()
          .addOption(optionWithArgument(STATE, "WORD", "unknown (default) or all"))
          .addOption(optionWithArgument(ORGANISATION, "NAME", "organisation that sent the request"))
          .addOption(optionWithArgument(EXECUTED, "yes|no", "whether the request was executed"));
    }

    @Override
    public Either<CommandError, ExitCode> run(
        List<String> arguments, CommandLine line, Session session) {
      return switch (arguments.isEmpty() ? "" : arguments.getFirst()) {
        case "list" -> list(line.getOptionValue(STATE, "unknown"), session);
        case "show" -> key(arguments, line).flatMap(key -> show(key, session));
        case "resolve" -> key(arguments, line).flatMap(key -> resolve(key, line, session));
        default -> Either.left(CommandError.usage("expected list, show KEY or resolve KEY"));
      };
    }

    private static Either<CommandError, RequestKey> key(List<String> arguments, CommandLine line) {
      return arguments.size() == 2 && line.hasOption(ORGANISATION)
          ? Either.right(new RequestKey(line.getOptionValue(ORGANISATION), arguments.get(1)))
          : Either.left(CommandError.usage("expected one KEY and --organisation NAME"));
    }

    private static Either<CommandError, ExitCode> list(String state, Session session) {
      if (!state.equals("unknown") && !state.equals("all")) {
        return Either.left(
            CommandError.usage("--state: \"" + state + "\": expected unknown or all"));
      }
      return fetchRequests(state, session).map(requests -> print(requests, session));
    }

    private static ExitCode print(List<RequestView> requests, Session session) {
      List<List<String>> rows = requests.stream().map(RequestView::cells).toList();
      session.output().print(requests, new Output.Table(RequestView.HEADER, rows));
      return ExitCode.OK;
    }

    private static Either<CommandError, ExitCode> show(RequestKey key, Session session) {
      return find(key, session).map(request -> print(List.of(request), session));
    }

    private static Either<CommandError, ExitCode> resolve(
        RequestKey key, CommandLine line, Session session) {
      String executed = line.getOptionValue(EXECUTED, "");
      if (!executed.equals("yes") && !executed.equals("no")) {
        return Either.left(
            CommandError.usage("--executed: \"" + executed + "\": expected yes or no"));
      }
      return find(key, session)
          .flatMap(request -> resolve(request, executed.equals("yes"), session));
    }

    private static Either<CommandError, ExitCode> resolve(
        RequestView request, boolean executed, Session session) {
      var resolution =
          new ResolveBody(
              request.organisation(), request.key(), request.claimId(), executed, session.author());
      return session
          .nodes()
          .flatMap(
              nodes ->
                  session.post(
                      claimingNode(nodes, request, session),
                      "/admin/requests/resolve",
                      Json.write(resolution),
                      ResolveResult.class))
          .map(
              result -> {
                session.output().print(result, Output.Table.text(result.detail()));
                return ExitCode.OK;
              });
    }

    /**
     * Returns the node that claimed a request, because that node knows whether the request is still
     * running. If it does not respond, returns the first node that does, and if none does, the
     * first node.
     */
    private static String claimingNode(List<String> nodes, RequestView request, Session session) {
      return nodes.stream()
          .filter(
              node ->
                  session
                      .get(node, "/admin/status", NodeStatus.class)
                      .map(status -> status.node().equals(request.node()))
                      .getOrElse(false))
          .findFirst()
          .orElse(firstRespondingNode(nodes, session));
    }

    private static String firstRespondingNode(List<String> nodes, Session session) {
      return nodes.stream()
          .filter(node -> session.get(node, "/admin/status", NodeStatus.class).isRight())
          .findFirst()
          .orElse(nodes.getFirst());
    }

    private static Either<CommandError, RequestView> find(RequestKey key, Session session) {
      return fetchRequests("all", session)
          .flatMap(
              requests ->
                  requests.stream()
                      .filter(request -> request.organisation().equals(key.organisation()))
                      .filter(request -> request.key().equals(key.idempotencyKey()))
                      .findFirst()
                      .map(Either::<CommandError, RequestView>right)
                      .orElseGet(() -> Either.left(notFound(key))));
    }

    private static CommandError notFound(RequestKey key) {
      return CommandError.refused(
          key.idempotencyKey() + " of " + key.organisation() + ": no such request");
    }

    private static Either<CommandError, List<RequestView>> fetchRequests(
        String state, Session session) {
      return session.nodes().flatMap(nodes -> fetchRequests(nodes, state, session));
    }

    private static Either<CommandError, List<RequestView>> fetchRequests(
        List<String> nodes, String state, Session session) {
      Optional<CommandError> lastError = Optional.empty();
      for (String node : nodes) {
        var response = session.get(node, "/admin/requests?state=" + state, RequestView[].class);
        if (response.isRight()) {
          return Either.right(Arrays.asList(response.get()));
        }
        lastError = Optional.of(response.getLeft());
      }
      return Either.left(lastError.orElseThrow());
    }

    private static Option optionWithArgument(String name, String argument, String description) {
      return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
    }
  }

  private record RequestKey(String organisation, String idempotencyKey) {}

  private record ResolveBody(
      String organisation, String key, String claimId, boolean executed, String operator) {}

  private record ResolveResult(int status, String result, String detail) {}

  /** A non-repeatable request, as reported by the admin interface of a node. */
  private record RequestView(
      String organisation, String key, String claimId, String node, String since, String state) {

    static final List<String> HEADER =
        List.of("ORGANISATION", "KEY", "STATE", "NODE", "SINCE", "CLAIM");

    List<String> cells() {
      return List.of(organisation, key, state, node, since, claimId);
    }
  }
}
