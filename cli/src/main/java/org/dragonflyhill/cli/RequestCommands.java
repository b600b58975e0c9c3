package org.dragonflyhill.cli;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.dragonflyhill.ports.Json;

/** Commands on non-repeatable requests. Stateless and thread-safe. */
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
      return "list non-repeatable requests whose outcome is unknown, and say what became of them";
    }

    @Override
    public Options options() {
      return new Options()
          .addOption(optionWithArgument(STATE, "WORD", "unknown (default) or all"))
          .addOption(optionWithArgument(ORGANISATION, "NAME", "who sent the request"))
          .addOption(optionWithArgument(EXECUTED, "yes|no", "whether the request was run"));
    }

    @Override
    public Either<CommandError, ExitCode> run(
        List<String> words, CommandLine line, Session session) {
      return switch (words.isEmpty() ? "" : words.getFirst()) {
        case "list" -> list(line.getOptionValue(STATE, "unknown"), session);
        case "show" -> key(words, line).flatMap(key -> show(key, session));
        case "resolve" -> key(words, line).flatMap(key -> resolve(key, line, session));
        default -> Either.left(CommandError.usage("expected list, show KEY or resolve KEY"));
      };
    }

    private static Either<CommandError, RequestKey> key(List<String> words, CommandLine line) {
      return words.size() == 2 && line.hasOption(ORGANISATION)
          ? Either.right(new RequestKey(line.getOptionValue(ORGANISATION), words.get(1)))
          : Either.left(CommandError.usage("expected one KEY and --organisation NAME"));
    }

    private static Either<CommandError, ExitCode> list(String state, Session session) {
      if (!state.equals("unknown") && !state.equals("all")) {
        return Either.left(
            CommandError.usage("--state: \"" + state + "\": expected unknown or all"));
      }
      return fetchRequests(state, session).map(views -> print(views, session));
    }

    private static ExitCode print(List<RequestView> views, Session session) {
      List<List<String>> rows = views.stream().map(RequestView::cells).toList();
      session.output().print(views, new Output.Table(RequestView.HEADER, rows));
      return ExitCode.OK;
    }

    private static Either<CommandError, ExitCode> show(RequestKey key, Session session) {
      return find(key, session).map(view -> print(List.of(view), session));
    }

    private static Either<CommandError, ExitCode> resolve(
        RequestKey key, CommandLine line, Session session) {
      String executed = line.getOptionValue(EXECUTED, "");
      if (!executed.equals("yes") && !executed.equals("no")) {
        return Either.left(
            CommandError.usage("--executed: \"" + executed + "\": expected yes or no"));
      }
      return find(key, session).flatMap(view -> resolve(view, executed.equals("yes"), session));
    }

    private static Either<CommandError, ExitCode> resolve(
        RequestView view, boolean executed, Session session) {
      var resolution =
          new ResolveBody(
              view.organisation(), view.key(), view.claimId(), executed, session.author());
      return session
          .nodes()
          .flatMap(
              nodes ->
                  session.post(
                      claimingNode(nodes, view, session),
                      "/admin/requests/resolve",
                      Json.write(resolution),
                      ResolveResult.class))
          .map(
              result -> {
                session.output().print(result, Output.Table.text(result.detail()));
                return ExitCode.OK;
              });
    }

    /** The node that claimed knows best whether the request still runs; else any node will do. */
    private static String claimingNode(List<String> nodes, RequestView view, Session session) {
      return nodes.stream()
          .filter(
              node ->
                  session
                      .get(node, "/admin/status", NodeStatus.class)
                      .map(status -> status.node().equals(view.node()))
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
              views ->
                  views.stream()
                      .filter(view -> view.organisation().equals(key.organisation()))
                      .filter(view -> view.key().equals(key.idempotencyKey()))
                      .findFirst()
                      .map(Either::<CommandError, RequestView>right)
                      .orElseGet(() -> Either.left(notFound(key))));
    }

    private static CommandError notFound(RequestKey key) {
      return CommandError.refused(
          key.idempotencyKey() + " of " + key.organisation() + ": no such request is known");
    }

    private static Either<CommandError, List<RequestView>> fetchRequests(
        String state, Session session) {
      return session.nodes().flatMap(nodes -> fetchRequests(nodes, state, session));
    }

    private static Either<CommandError, List<RequestView>> fetchRequests(
        List<String> nodes, String state, Session session) {
      Optional<CommandError> lastError = Optional.empty();
      for (String node : nodes) {
        var answer = session.get(node, "/admin/requests?state=" + state, RequestView[].class);
        if (answer.isRight()) {
          return Either.right(Arrays.asList(answer.get()));
        }
        lastError = Optional.of(answer.getLeft());
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

  /** A request as a node tells it. */
  private record RequestView(
      String organisation, String key, String claimId, String node, String since, String state) {

    static final List<String> HEADER =
        List.of("ORGANISATION", "KEY", "STATE", "NODE", "SINCE", "CLAIM");

    List<String> cells() {
      return List.of(organisation, key, state, node, since, claimId);
    }
  }
}
