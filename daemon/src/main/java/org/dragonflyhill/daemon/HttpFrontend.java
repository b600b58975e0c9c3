package org.dragonflyhill.daemon;

import io.netty.channel.Channel;
import io.vavr.control.Either;
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
 * Takes requests of callers over HTTP and writes the replies.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class HttpFrontend implements AutoCloseable {

  /** Header with the time left for a request, in milliseconds. */
  public static final String DEADLINE_HEADER = "Dragonflyhill-Deadline-Millis";

  /** Header with the task of a request. */
  public static final String TASK_HEADER = "Dragonflyhill-Task";

  /** Header of each reply with the request's id. */
  public static final String REQUEST_ID_HEADER = "Dragonflyhill-Request-Id";

  private static final int MAX_HEADER_BYTES = 16 * 1_024;
  private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(2);
  private static final Duration CONNECTION_RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration QUIET_POLL = Duration.ofMillis(20);
  private static final String BEARER = "Bearer ";

  private final DaemonSettings settings;
  private final RequestFilter.Handler handler;
  private final NodeMetrics metrics;
  private final InstantSource clock;
  private final DrainController drain;
  private final ReplyWriter writer;
  private final ConnectionLimit connections;
  private final DisposableServer server;

  /**
   * Starts to listen.
   *
   * @param settings host, port and limits
   * @param handler answers the requests
   * @param metrics counts refusals
   * @param drain knows whether the node stops and counts running requests
   * @param clock gives the time of arrival
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
    metrics.gauge("callers.connections", connections::open);
    this.server =
        HttpServer.create()
            .host(settings.host())
            .port(settings.httpPort())
            .idleTimeout(IDLE_TIMEOUT)
            .httpRequestDecoder(spec -> spec.maxHeaderSize(MAX_HEADER_BYTES))
            .doOnChannelInit((observer, channel, address) -> opened(channel))
            .childObserve(this::observe)
            .handle(this::watched)
            .bindNow();
  }

  /** Returns the port that it listens on. */
  public int port() {
    return server.port();
  }

  /**
   * Completes when no caller has opened a connection for some time. A connection that the system
   * has set up but this process has not accepted is reset with the listener.
   *
   * @param quietTime the time without a new connection
   */
  public Mono<Void> whenQuiet(Duration quietTime) {
    return Flux.interval(Duration.ZERO, QUIET_POLL)
        .takeUntil(tick -> connections.isQuiet(quietTime, clock.instant()))
        .then();
  }

  /** Takes no more connections; those that are open are served on. */
  public void stopListening() {
    server.dispose();
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  /** Counts requests that the library refuses by itself, since no handler sees them. */
  private void observe(Connection connection, ConnectionObserver.State state) {
    if (state == HttpServerState.REQUEST_DECODING_FAILED) {
      metrics.refused(RefusalReason.MALFORMED_HTTP);
    }
  }

  private void opened(Channel channel) {
    connections.opened(channel, clock.instant());
    HeaderTimeout.watch(channel, settings.bodyTimeout(), metrics);
  }

  private Publisher<Void> watched(HttpServerRequest request, HttpServerResponse response) {
    // Kept from here on: after the answer the request no longer leads to its connection.
    AtomicReference<Channel> channel = new AtomicReference<>();
    request.withConnection(connection -> channel.set(connection.channel()));
    HeaderTimeout.headRead(channel.get());
    return Mono.from(handle(request, response))
        .doFinally(signal -> HeaderTimeout.answered(channel.get()));
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return switch (request.uri().replaceAll("\\?.*", "")) {
      case "/livez" -> ReplyWriter.text(response, 200, "text/plain", "live\n");
      case "/readyz" -> ready(response);
      case "/metrics" -> metrics(request, response);
      default -> serve(request, response);
    };
  }

  private Publisher<Void> ready(HttpServerResponse response) {
    Optional<String> reason = drain.notReadyReason();
    return reason.isEmpty()
        ? ReplyWriter.text(response, 200, "text/plain", "ready\n")
        : ReplyWriter.text(response, 503, "text/plain", reason.get() + "\n");
  }

  private Publisher<Void> metrics(HttpServerRequest request, HttpServerResponse response) {
    String accepted = Optional.ofNullable(request.requestHeaders().get("Accept")).orElse("");
    return accepted.contains("json")
        ? ReplyWriter.text(response, 200, "application/json", metrics.json())
        : ReplyWriter.text(response, 200, "text/plain; version=0.0.4", metrics.text());
  }

  private Publisher<Void> serve(HttpServerRequest request, HttpServerResponse response) {
    String requestId = UUID.randomUUID().toString();
    response.header(REQUEST_ID_HEADER, requestId);
    DrainController.RequestTracker running = drain.begin(requestId, clock.instant());
    return reply(requestId, request, response)
        .takeUntilOther(drain.aborted())
        .switchIfEmpty(Mono.fromSupplier(() -> new Reply.Problem(ReplyWriter.stopped())))
        .flatMap(reply -> Mono.from(writer.write(requestId, response, reply)))
        .onErrorResume(HttpFrontend::isCallerGone, error -> callerGone())
        .doOnCancel(() -> metrics.count("callers.gone"))
        .doFinally(signal -> running.close());
  }

  private Mono<Reply> reply(
      String requestId, HttpServerRequest request, HttpServerResponse response) {
    if (isOverLimit(request)) {
      response.keepAlive(false);
      return Mono.just(new Reply.Problem(tooManyConnections()));
    }
    return RequestBody.read(request, settings.maxBodyBytes(), settings.bodyTimeout())
        .doOnNext(body -> keepAlive(response, body))
        .flatMap(body -> answer(requestId, request, body.text()))
        .onErrorResume(
            error -> !isCallerGone(error),
            error -> Mono.just(new Reply.Problem(ReplyWriter.internal(requestId, error))));
  }

  /** Lets go of connections whose body was not read, and of all while the node stops. */
  private void keepAlive(HttpServerResponse response, RequestBody.Read body) {
    if (!body.isComplete() || drain.isStopping()) {
      response.keepAlive(false);
    }
  }

  private boolean isOverLimit(HttpServerRequest request) {
    AtomicBoolean isOver = new AtomicBoolean();
    request.withConnection(connection -> isOver.set(connections.isOver(connection.channel())));
    return isOver.get();
  }

  private Refusal tooManyConnections() {
    return Refusal.notRun(
            RefusalReason.TOO_MANY_CONNECTIONS,
            "more than " + settings.maxConnections() + " connections are open")
        .withRetryAfter(CONNECTION_RETRY_AFTER);
  }

  private static boolean isCallerGone(Throwable error) {
    return AbortedException.isConnectionReset(error);
  }

  private Mono<Void> callerGone() {
    metrics.count("callers.gone");
    return Mono.empty();
  }

  private Mono<Reply> answer(
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
                .filter(value -> value.startsWith(BEARER))
                .map(value -> value.substring(BEARER.length())),
            key,
            header(request, TASK_HEADER),
            millis));
  }

  private static Optional<String> header(HttpServerRequest request, String name) {
    return Optional.ofNullable(request.requestHeaders().get(name));
  }
}
