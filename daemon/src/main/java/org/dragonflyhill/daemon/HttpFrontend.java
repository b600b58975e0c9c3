package org.dragonflyhill.daemon;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.platform.Json;
import org.dragonflyhill.platform.LogEvent;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

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

  private static final Logger LOGGER = LogManager.getLogger(HttpFrontend.class);
  private static final int MAX_HEADER_BYTES = 16 * 1_024;
  private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(2);
  private static final String BEARER = "Bearer ";

  private final DaemonSettings settings;
  private final RequestFilter.Handler handler;
  private final NodeMetrics metrics;
  private final InstantSource clock;
  private final DrainController drain;
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
    this.server =
        HttpServer.create()
            .host(settings.host())
            .port(settings.httpPort())
            .idleTimeout(IDLE_TIMEOUT)
            .httpRequestDecoder(spec -> spec.maxHeaderSize(MAX_HEADER_BYTES))
            .handle(this::handle)
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

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return switch (request.uri().replaceAll("\\?.*", "")) {
      case "/livez" -> text(response, 200, "text/plain", "live\n");
      case "/readyz" -> ready(response);
      case "/metrics" -> metrics(request, response);
      default -> serve(request, response);
    };
  }

  private Publisher<Void> ready(HttpServerResponse response) {
    Optional<String> reason = drain.notReadyReason();
    return reason.isEmpty()
        ? text(response, 200, "text/plain", "ready\n")
        : text(response, 503, "text/plain", reason.get() + "\n");
  }

  private Publisher<Void> metrics(HttpServerRequest request, HttpServerResponse response) {
    String accepted = Optional.ofNullable(request.requestHeaders().get("Accept")).orElse("");
    return accepted.contains("json")
        ? text(response, 200, "application/json", metrics.json())
        : text(response, 200, "text/plain; version=0.0.4", metrics.text());
  }

  private Publisher<Void> serve(HttpServerRequest request, HttpServerResponse response) {
    String requestId = UUID.randomUUID().toString();
    response.header(REQUEST_ID_HEADER, requestId);
    DrainController.Running running = drain.begin(requestId);
    return body(request)
        .flatMap(body -> answer(requestId, request, body))
        .onErrorResume(error -> Mono.just(new Reply.Problem(internal(requestId, error))))
        .flatMap(reply -> Mono.from(write(requestId, response, reply)))
        .doFinally(signal -> running.close());
  }

  private Mono<Either<Refusal, String>> body(HttpServerRequest request) {
    BodyReader reader = new BodyReader(settings.maxBodyBytes());
    return request
        .receive()
        .asByteArray()
        .takeUntil(block -> !reader.add(block))
        .then(Mono.fromSupplier(reader::text))
        .timeout(settings.bodyTimeout())
        .onErrorResume(
            TimeoutException.class,
            error ->
                Mono.just(
                    Either.left(
                        Refusal.notRun(
                            RefusalReason.REQUEST_TIMEOUT,
                            "the body did not arrive within "
                                + settings.bodyTimeout().toMillis()
                                + " ms"))));
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

  private static Refusal internal(String requestId, Throwable error) {
    LOGGER.error("request {} failed", requestId, error);
    return Refusal.unknown(RefusalReason.INTERNAL, "a fault of the node, see its log");
  }

  private Publisher<Void> write(String requestId, HttpServerResponse response, Reply reply) {
    return switch (reply) {
      case Reply.Json json -> text(response, json.status(), "application/json", json.body());
      case Reply.Stream stream -> stream(requestId, response, stream.events());
      case Reply.Problem problem -> problem(requestId, response, problem.refusal());
    };
  }

  /** Waits for the first event, so that an early failure still gets its own status. */
  private Publisher<Void> stream(
      String requestId, HttpServerResponse response, Flux<Reply.StreamEvent> events) {
    return events
        .onErrorResume(error -> Flux.just(new Reply.StreamEvent.Broken(internal(requestId, error))))
        .switchOnFirst(
            (first, all) ->
                first.get() instanceof Reply.StreamEvent.Broken broken
                    ? problem(requestId, response, broken.refusal())
                    : send(requestId, response, all));
  }

  private Publisher<Void> send(
      String requestId, HttpServerResponse response, Flux<Reply.StreamEvent> events) {
    response.status(200).header("Content-Type", "text/event-stream");
    response.header("Cache-Control", "no-store");
    return response.sendObject(events.map(event -> bytes(requestId, event)), buffer -> true);
  }

  private ByteBuf bytes(String requestId, Reply.StreamEvent event) {
    String text =
        switch (event) {
          case Reply.StreamEvent.Data data -> "data: " + data.body() + "\n\n";
          case Reply.StreamEvent.Whole whole -> "data: [DONE]\n\n";
          case Reply.StreamEvent.Broken broken -> {
            noteRefusal(requestId, broken.refusal());
            yield "event: error\ndata: " + problemBody(requestId, broken.refusal()) + "\n\n";
          }
        };
    return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
  }

  private Publisher<Void> problem(String requestId, HttpServerResponse response, Refusal refusal) {
    noteRefusal(requestId, refusal);
    refusal
        .retryAfter()
        .ifPresent(time -> response.header("Retry-After", String.valueOf(seconds(time))));
    return text(
        response,
        refusal.reason().status(),
        "application/problem+json",
        problemBody(requestId, refusal));
  }

  private void noteRefusal(String requestId, Refusal refusal) {
    metrics.refused(refusal.reason());
    LogEvent.of("request_refused")
        .with("request", requestId)
        .with("reason", refusal.reason().code())
        .with("executed", refusal.execution().word())
        .info(LOGGER);
  }

  /** Returns the RFC 9457 form of a refusal. */
  static String problemBody(String requestId, Refusal refusal) {
    ObjectNode body = Json.mapper().createObjectNode();
    body.put("type", "urn:dragonflyhill:" + refusal.reason().code());
    body.put("title", refusal.reason().code().replace('_', ' '));
    body.put("status", refusal.reason().status());
    body.put("detail", refusal.detail());
    body.put("reason", refusal.reason().code());
    body.put("executed", refusal.execution().word());
    body.put("request_id", requestId);
    refusal.retryAfter().ifPresent(time -> body.put("retry_after_millis", time.toMillis()));
    return body.toString();
  }

  private static long seconds(Duration time) {
    return Math.max(1, (time.toMillis() + 999) / 1_000);
  }

  private static Publisher<Void> text(
      HttpServerResponse response, int status, String type, String body) {
    return response
        .status(status)
        .header("Content-Type", type)
        .sendByteArray(Mono.just(body.getBytes(StandardCharsets.UTF_8)));
  }

  /** Gathers a body up to a limit. Not thread-safe: one for each request. */
  private static final class BodyReader {

    private final int limit;
    private final java.io.ByteArrayOutputStream bytes = new java.io.ByteArrayOutputStream();
    private boolean isTooLarge;

    BodyReader(int limit) {
      this.limit = limit;
    }

    /** Adds a block; returns whether more may follow. */
    boolean add(byte[] block) {
      if (bytes.size() + block.length > limit) {
        isTooLarge = true;
        return false;
      }
      bytes.writeBytes(block);
      return true;
    }

    Either<Refusal, String> text() {
      if (isTooLarge) {
        return Either.left(
            Refusal.notRun(
                RefusalReason.BODY_TOO_LARGE, "the body is larger than " + limit + " bytes"));
      }
      try {
        return Either.right(
            StandardCharsets.UTF_8
                .newDecoder()
                .decode(ByteBuffer.wrap(bytes.toByteArray()))
                .toString());
      } catch (CharacterCodingException e) {
        return Either.left(
            Refusal.notRun(RefusalReason.BAD_REQUEST, "the body is not valid UTF-8"));
      }
    }
  }
}
