package org.dragonflyhill.cli;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.dragonflyhill.core.ConfigurationState;
import org.dragonflyhill.ports.ConfigurationLog;
import org.dragonflyhill.ports.HttpCaller;
import org.dragonflyhill.ports.HttpLogClient;
import org.dragonflyhill.ports.LogPort;

/**
 * Connections, settings and output of one run of the command line program.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class Session implements AutoCloseable {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
  private static final int MAX_CONNECTIONS = 16;

  private final HttpCaller caller = new HttpCaller("cli", MAX_CONNECTIONS, CONNECT_TIMEOUT);
  private final Optional<String> logAddress;
  private final List<String> nodes;
  private final String author;
  private final Duration timeout;
  private final Output output;
  private final InstantSource clock;

  /**
   * Creates a session.
   *
   * @param line the parsed command line
   * @param environment environment variables, for flags that are not on the command line
   * @param timeout time limit of each call
   * @param output prints the results
   * @param clock source of the current time
   */
  Session(
      CommandLine line,
      Environment environment,
      Duration timeout,
      Output output,
      InstantSource clock) {
    this.timeout = timeout;
    this.output = output;
    this.clock = clock;
    logAddress = environment.value(line, "log");
    nodes =
        environment.value(line, "nodes").map(list -> List.of(list.split(","))).orElse(List.of());
    author = environment.value(line, "author").orElse(System.getProperty("user.name"));
  }

  Output output() {
    return output;
  }

  String author() {
    return author;
  }

  InstantSource clock() {
    return clock;
  }

  /** Returns a client of the log service, or an error if its address is not given. */
  Either<CommandError, LogPort> log() {
    return logAddress
        .map(
            address ->
                Either.<CommandError, LogPort>right(new HttpLogClient(caller, address, timeout)))
        .orElseGet(
            () ->
                Either.left(
                    CommandError.usage("--log HOST:PORT or DRAGONFLYHILL_LOG is required")));
  }

  /** Returns the configuration log, or an error if the address of the log service is not given. */
  Either<CommandError, ConfigurationLog> configuration() {
    return log().map(ConfigurationLog::new);
  }

  /** Returns the configuration after all records that are currently in the log. */
  static Either<CommandError, ConfigurationState> readConfiguration(ConfigurationLog log) {
    return log.read().block().mapLeft(CommandError::of);
  }

  /** Returns the admin addresses of the nodes, or an error if they are not given. */
  Either<CommandError, List<String>> nodes() {
    return nodes.isEmpty()
        ? Either.left(
            CommandError.usage("--nodes HOST:PORT,... or DRAGONFLYHILL_NODES is required"))
        : Either.right(nodes);
  }

  /** Sends a GET request to the admin interface of a node. */
  <T> Either<CommandError, T> get(String node, String path, Class<T> type) {
    return call(HttpMethod.GET, node, path, "", type);
  }

  /** Sends a POST request with a body to the admin interface of a node. */
  <T> Either<CommandError, T> post(String node, String path, String body, Class<T> type) {
    return call(HttpMethod.POST, node, path, body, type);
  }

  @Override
  public void close() {
    caller.close();
  }

  private <T> Either<CommandError, T> call(
      HttpMethod method, String node, String path, String body, Class<T> type) {
    return caller
        .call(method, node, path, List.of(), body, timeout)
        .map(reply -> reply.flatMap(r -> r.read(type)))
        .block()
        .mapLeft(CommandError::of);
  }
}
