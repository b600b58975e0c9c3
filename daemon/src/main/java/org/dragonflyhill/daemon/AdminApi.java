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

/** The operators' interface of a node, JSON over HTTP. Thread-safe; nothing is null. */
public final class AdminApi implements AutoCloseable {

  private final DaemonSettings settings;
  private final ConfigurationController configuration;
  private final ClaimAdmin claims;
  private final DrainController drain;
  private final PeerController peers;
  private final InstantSource clock;
  private final DisposableServer server;

  /** Starts to listen. */
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

  /** Returns the port that it listens on. */
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
   * State of a node.
   *
   * @param node name
   * @param availabilityZone availability zone
   * @param configurationVersion offset of the last accepted change, -1 for none
   * @param configurationOffset offset of the last change read, -1 for none
   * @param runningRequests number of running requests
   * @param notReadyReason why it is not ready; empty if it is
   * @param peerPort port for other nodes
   * @param configurationProblem why it cannot follow the configuration; empty if it can
   * @param oldestRequests running requests, oldest first, at most a few
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
   * What this node knows of another, or of itself.
   *
   * @param node name
   * @param configurationVersion offset of the last accepted change, -1 for none
   * @param configurationOffset offset of the last record read, -1 for none
   * @param heardAtMillis when it said so, milliseconds since the epoch by this node's clock
   */
  public record KnownNode(
      String node, long configurationVersion, long configurationOffset, long heardAtMillis) {}

  /**
   * Configuration in force on a node.
   *
   * @param version offset of the last accepted change
   * @param objects all objects
   */
  public record Configuration(long version, List<ConfigurationObject> objects) {}
}
