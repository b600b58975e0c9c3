package org.dragonflyhill.daemon;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.ConfigurationObject;
import org.dragonflyhill.ports.Json;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * HTTP server of a node's admin API for operators. Bodies are JSON.
 *
 * <p>Thread-safe; nothing is null.
 */
public final class AdminApi implements AutoCloseable {

  private final DaemonSettings settings;
  private final ConfigurationController configuration;
  private final ClaimAdmin claims;
  private final DrainController drain;
  private final PeerController peers;
  private final InstantSource clock;
  private final DisposableServer server;

  /** Starts the server on the admin port of the settings. */
  public AdminApi(
      DaemonSettings settings,
      NodeState state,
      ClaimAdmin claims,
      DrainController drain,
      DecisionJournal journal,
      InstantSource clock) {
    this.settings = settings;
    this.configuration = state.configuration();
    this.claims = claims;
    this.drain = drain;
    this.peers = state.peers();
    this.clock = clock;
    server =
        HttpServer.create()
            .host(settings.host())
            .port(settings.adminPort())
            .route(
                routes ->
                    routes
                        .get("/admin/status", (request, response) -> sendJson(response, status()))
                        .get(
                            "/admin/configuration",
                            (request, response) -> sendJson(response, configuration()))
                        .get("/admin/nodes", (request, response) -> sendJson(response, nodes()))
                        .get(
                            "/admin/requests",
                            (request, response) ->
                                sendJson(
                                    response, claims.list(queryParameter(request.uri(), "state"))))
                        .post("/admin/requests/resolve", this::resolve)
                        .get(
                            "/admin/explain/{id}",
                            (request, response) ->
                                journal
                                    .explain(request.param("id"))
                                    .map(explanation -> sendJson(response, explanation))
                                    .orElseGet(() -> response.sendNotFound())))
            .bindNow();
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return server.port();
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  private Status status() {
    return new Status(
        settings.node(),
        settings.availabilityZone(),
        configuration.state().version(),
        configuration.state().throughOffset(),
        drain.runningRequests(),
        drain.notReadyReason(),
        peers.port(),
        configuration.problem(),
        drain.oldestRequests(clock.instant()));
  }

  private Configuration configuration() {
    List<ConfigurationObject> objects =
        configuration.state().objects().values().stream()
            .map(versioned -> versioned.object())
            .toList();
    return new Configuration(configuration.state().version(), objects);
  }

  private List<KnownNode> nodes() {
    return peers.nodes().stream()
        .map(
            entry ->
                new KnownNode(
                    entry.node(), entry.version(), entry.offset(), entry.heardAt().toEpochMilli()))
        .toList();
  }

  private Publisher<Void> resolve(HttpServerRequest request, HttpServerResponse response) {
    return request
        .receive()
        .aggregate()
        .asString()
        .defaultIfEmpty("")
        .flatMap(claims::resolve)
        .flatMap(result -> Mono.from(sendJson(response.status(result.status()), result)));
  }

  private static Optional<String> queryParameter(String uri, String name) {
    return Optional.ofNullable(new QueryStringDecoder(uri).parameters().get(name))
        .map(List::getFirst);
  }

  private static Publisher<Void> sendJson(HttpServerResponse response, Object body) {
    byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
    return response.header("Content-Type", "application/json").sendByteArray(Mono.just(bytes));
  }

  /**
   * Status of a node.
   *
   * @param node name of the node
   * @param availabilityZone name of its availability zone
   * @param configurationVersion log offset of the last accepted configuration change, -1 for none
   * @param configurationOffset log offset of the last record read, -1 for none
   * @param runningRequests number of running requests
   * @param notReadyReason why the node is not ready; empty if it is ready
   * @param peerPort port on which the node listens for other nodes
   * @param configurationProblem why the node cannot follow the configuration log; empty if it can
   * @param oldestRequests the longest running requests, oldest first; their number is limited
   */
  public record Status(
      String node,
      String availabilityZone,
      long configurationVersion,
      long configurationOffset,
      int runningRequests,
      Optional<String> notReadyReason,
      int peerPort,
      Optional<String> configurationProblem,
      List<DrainController.RunningRequest> oldestRequests) {}

  /**
   * Latest configuration progress that a node has reported to this one; this node lists itself too.
   *
   * @param node name of the reporting node
   * @param configurationVersion log offset of its last accepted configuration change, -1 for none
   * @param configurationOffset log offset of the last record it has read, -1 for none
   * @param heardAtMillis when this node received the report, by its own clock, in milliseconds
   *     since the epoch
   */
  public record KnownNode(
      String node, long configurationVersion, long configurationOffset, long heardAtMillis) {}

  /**
   * Configuration that a node currently uses.
   *
   * @param version log offset of the last accepted change, -1 for none
   * @param objects all configuration objects
   */
  public record Configuration(long version, List<ConfigurationObject> objects) {}
}
