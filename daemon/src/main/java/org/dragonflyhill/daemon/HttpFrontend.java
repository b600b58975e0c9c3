package org.dragonflyhill.daemon;

import io.netty.channel.Channel;
import io.vavr.control.Either;
import java.net.SocketException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.ConnectionObserver;
import reactor.netty.DisposableServer;
import reactor.netty.channel.AbortedException;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerState;

/**
 * HTTP server for callers: parses requests, passes them to a handler and writes the replies.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class HttpFrontend implements AutoCloseable {

  /** Message of a reset on Java's own transport; Reactor Netty knows that of the native one. */
  private static final String NIO_RESET = "Connection reset";

  /** Request header with the time left until the deadline, in milliseconds. */
  public static final String DEADLINE_HEADER = "Dragonflyhill-Deadline-Millis";

  /** Request header with the name of the task. */
  public static final String TASK_HEADER = "Dragonflyhill-Task";

  /** Response header with the id of the request. */
  public static final String REQUEST_ID_HEADER = "Dragonflyhill-Request-Id";

  private static final int MAX_HEADER_BYTES = 16 * 1_024;
  private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(2);
  private static final Duration CONNECTION_RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration NEW_CONNECTION_POLL_INTERVAL = Duration.ofMillis(20);
  private static final String BEARER_PREFIX = "Bearer ";

  private final DaemonSettings settings;
  private final RequestFilter.Handler handler;
  private final NodeMetrics metrics;
  private final InstantSource clock;
  private final DrainController drain;
  private final ReplyWriter writer;
  private final ConnectionLimit connections;
  private final DisposableServer server;

  /**
   * Starts the server.
   *
   * @param settings host, port and limits
   * @param handler handles the parsed requests
   * @param metrics metrics of the node
   * @param drain tracks running requests and the state of a planned stop
   * @param clock gives the times of arrival
   */
  public HttpFrontend(
      DaemonSettings settings,
      RequestFilter.Handler handler,
      NodeMetrics metrics,
      DrainController drain,
      InstantSource clock) {
    this.settings = settings;
    this.handler = handler;
    this.metrics = metrics;
    this.drain = drain;
    this.clock = clock;
    this.writer = new ReplyWriter(metrics, drain.aborted());
    this.connections = new ConnectionLimit(settings.maxConnections());
    metrics.registerGauge("callers.connections", connections::openConnections);
    this.server =
        HttpServer.create()
            .host(settings.host())
            .port(settings.httpPort())
            .idleTimeout(IDLE_TIMEOUT)
            .httpRequestDecoder(spec -> spec.maxHeaderSize(MAX_HEADER_BYTES))
            .doOnChannelInit((observer, channel, address) -> connectionOpened(channel))
            .childObserve(this::countRejectedRequest)
            .handle(this::handleWithHeaderTimeout)
            .bindNow();
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return server.port();
  }

  /**
   * Completes when no caller has opened a connection for the given period. Closing the listener
   * resets connections that the operating system has established but this process has not accepted
   * yet, so it should be closed only after such a period.
   *
   * @param period required time without a new connection
   */
  public Mono<Void> whenNoNewConnections(Duration period) {
    return Flux.interval(Duration.ZERO, NEW_CONNECTION_POLL_INTERVAL)
        .takeUntil(tick -> connections.hasNoNewConnections(period, clock.instant()))
        .then();
  }

  /** Stops accepting connections; requests on open connections are still served. */
  public void stopListening() {
    server.dispose();
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  /** Counts requests that Reactor Netty itself rejects, because no handler sees them. */
  private void countRejectedRequest(Connection connection, ConnectionObserver.State state) {
    if (state == HttpServerState.REQUEST_DECODING_FAILED) {
      metrics.countRefusal(RefusalReason.MALFORMED_HTTP);
    }
  }

  private void connectionOpened(Channel channel) {
    connections.register(channel, clock.instant());
    HeaderTimeout.install(channel, settings.bodyTimeout(), metrics);
  }

  private Publisher<Void> handleWithHeaderTimeout(
      HttpServerRequest request, HttpServerResponse response) {
    // Looked up now, because the request gives no access to its connection after the response.
    AtomicReference<Channel> channel = new AtomicReference<>();
    request.withConnection(connection -> channel.set(connection.channel()));
    HeaderTimeout.headersReceived(channel.get());
    return Mono.from(handle(request, response))
        .doFinally(signal -> HeaderTimeout.requestFinished(channel.get()));
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return switch (request.uri().replaceAll("\\?.*", "")) {
      case "/livez" -> ReplyWriter.sendText(response, 200, "text/plain", "live\n");
      case "/readyz" -> readiness(response);
      case "/metrics" -> metrics(request, response);
      default -> serve(request, response);
    };
  }

  private Publisher<Void> readiness(HttpServerResponse response) {
    Optional<String> reason = drain.notReadyReason();
    return reason.isEmpty()
        ? ReplyWriter.sendText(response, 200, "text/plain", "ready\n")
        : ReplyWriter.sendText(response, 503, "text/plain", reason.get() + "\n");
  }

  private Publisher<Void> metrics(HttpServerRequest request, HttpServerResponse response) {
    String accepted = Optional.ofNullable(request.requestHeaders().get("Accept")).orElse("");
    return accepted.contains("json")
        ? ReplyWriter.sendText(response, 200, "application/json", metrics.json())
        : ReplyWriter.sendText(response, 200, "text/plain; version=0.0.4", metrics.text());
  }

  private Publisher<Void> serve(HttpServerRequest request, HttpServerResponse response) {
    String requestId = UUID.randomUUID().toString();
    response.header(REQUEST_ID_HEADER, requestId);
    DrainController.RequestTracker tracker = drain.begin(requestId, clock.instant());
    return reply(requestId, request, response)
        .takeUntilOther(drain.aborted())
        .switchIfEmpty(Mono.fromSupplier(() -> new Reply.Problem(ReplyWriter.nodeStopped())))
        .flatMap(reply -> Mono.from(writer.write(requestId, response, reply)))
        .onErrorResume(HttpFrontend::isCallerDisconnected, error -> callerDisconnected())
        .doOnCancel(() -> metrics.count("callers.gone"))
        .doFinally(signal -> tracker.close());
  }

  private Mono<Reply> reply(
      String requestId, HttpServerRequest request, HttpServerResponse response) {
    if (isOverLimit(request)) {
      response.keepAlive(false);
      return Mono.just(new Reply.Problem(tooManyConnections()));
    }
    return RequestBody.read(request, settings.maxBodyBytes(), settings.bodyTimeout())
        .doOnNext(body -> updateKeepAlive(response, body))
        .flatMap(body -> parseAndHandle(requestId, request, body.text()))
        .onErrorResume(
            error -> !isCallerDisconnected(error),
            error -> Mono.just(new Reply.Problem(ReplyWriter.internalError(requestId, error))));
  }

  /** Closes the connection after the response if the body was not fully read or the node stops. */
  private void updateKeepAlive(HttpServerResponse response, RequestBody.Result body) {
    if (!body.isComplete() || drain.isStopping()) {
      response.keepAlive(false);
    }
  }

  private boolean isOverLimit(HttpServerRequest request) {
    AtomicBoolean isOver = new AtomicBoolean();
    request.withConnection(connection -> isOver.set(connections.isOverLimit(connection.channel())));
    return isOver.get();
  }

  private Refusal tooManyConnections() {
    return Refusal.notRun(
            RefusalReason.TOO_MANY_CONNECTIONS,
            "more than " + settings.maxConnections() + " connections are open")
        .withRetryAfter(CONNECTION_RETRY_AFTER);
  }

  /** Returns whether an error is a reset by the caller, as any transport reports it. */
  static boolean isCallerDisconnected(Throwable error) {
    return AbortedException.isConnectionReset(error)
        || error instanceof SocketException && NIO_RESET.equals(error.getMessage());
  }

  private Mono<Void> callerDisconnected() {
    metrics.count("callers.gone");
    return Mono.empty();
  }

  private Mono<Reply> parseAndHandle(
      String requestId, HttpServerRequest request, Either<Refusal, String> body) {
    Instant now = clock.instant();
    Either<Refusal, RequestContext> context =
        body.flatMap(text -> CallParser.parse(request.method(), path(request), text))
            .flatMap(
                call ->
                    headers(request)
                        .map(
                            headers ->
                                new RequestContext(
                                    requestId,
                                    now,
                                    headers,
                                    call,
                                    Optional.empty(),
                                    Optional.empty())));
    return context.fold(refusal -> Mono.just((Reply) new Reply.Problem(refusal)), handler::handle);
  }

  private static String path(HttpServerRequest request) {
    return request.uri().replaceAll("\\?.*", "");
  }

  private static Either<Refusal, RequestContext.Headers> headers(HttpServerRequest request) {
    Optional<String> deadline = header(request, DEADLINE_HEADER);
    Optional<Long> millis = Optional.empty();
    if (deadline.isPresent()) {
      if (!deadline.get().matches("[0-9]{1,9}")) {
        return Either.left(
            Refusal.notRun(
                RefusalReason.BAD_REQUEST,
                DEADLINE_HEADER + ": expected a whole number of milliseconds"));
      }
      millis = Optional.of(Long.valueOf(deadline.get()));
    }
    Optional<String> key = header(request, "Idempotency-Key");
    if (key.isPresent() && !key.get().matches("[A-Za-z0-9._:-]{1,128}")) {
      return Either.left(
          Refusal.notRun(
              RefusalReason.BAD_REQUEST,
              "Idempotency-Key: expected 1 to 128 letters, digits or . _ : -"));
    }
    return Either.right(
        new RequestContext.Headers(
            header(request, "Authorization")
                .filter(value -> value.startsWith(BEARER_PREFIX))
                .map(value -> value.substring(BEARER_PREFIX.length())),
            key,
            header(request, TASK_HEADER),
            millis));
  }

  private static Optional<String> header(HttpServerRequest request, String name) {
    return Optional.ofNullable(request.requestHeaders().get(name));
  }
}
