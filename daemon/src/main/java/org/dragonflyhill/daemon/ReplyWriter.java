package org.dragonflyhill.daemon;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.ports.Json;
import org.dragonflyhill.ports.LogEvent;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Writes replies as HTTP responses, and counts and logs each refusal once.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class ReplyWriter {

  private static final Logger LOGGER = LogManager.getLogger(ReplyWriter.class);

  private final NodeMetrics metrics;
  private final Mono<Void> aborted;

  /**
   * Creates a writer.
   *
   * @param metrics counts refusals
   * @param aborted completes when running streams must end immediately
   */
  ReplyWriter(NodeMetrics metrics, Mono<Void> aborted) {
    this.metrics = metrics;
    this.aborted = aborted;
  }

  /** Writes a reply. */
  Publisher<Void> write(String requestId, HttpServerResponse response, Reply reply) {
    return switch (reply) {
      case Reply.Json json -> sendText(response, json.status(), "application/json", json.body());
      case Reply.Stream stream -> sendStream(requestId, response, stream.events());
      case Reply.Problem problem -> sendProblem(requestId, response, problem.refusal());
    };
  }

  /** Writes a complete response body of the given content type. */
  static Publisher<Void> sendText(
      HttpServerResponse response, int status, String type, String body) {
    return response
        .status(status)
        .header("Content-Type", type)
        .sendByteArray(Mono.just(body.getBytes(StandardCharsets.UTF_8)));
  }

  /** Logs an unexpected exception and returns the refusal for it. */
  static Refusal internalError(String requestId, Throwable error) {
    LOGGER.error("request {} failed", requestId, error);
    return Refusal.unknown(RefusalReason.INTERNAL, "internal error, see the log of the node");
  }

  /** Returns the refusal for a request that the stop of the node ended. */
  static Refusal nodeStopped() {
    return Refusal.unknown(
        RefusalReason.STOPPING, "the node stopped before the response was complete");
  }

  /** Waits for the first event, so that a failure before any output sets the HTTP status. */
  private Publisher<Void> sendStream(
      String requestId, HttpServerResponse response, Flux<Reply.StreamEvent> events) {
    return untilAborted(events)
        .onErrorResume(
            error -> Flux.just(new Reply.StreamEvent.Failed(internalError(requestId, error))))
        .switchOnFirst(
            (first, all) ->
                first.get() instanceof Reply.StreamEvent.Failed failed
                    ? sendProblem(requestId, response, failed.refusal())
                    : sendEvents(requestId, response, all));
  }

  private Flux<Reply.StreamEvent> untilAborted(Flux<Reply.StreamEvent> events) {
    AtomicBoolean isEnded = new AtomicBoolean();
    return events
        .doOnNext(event -> isEnded.set(!(event instanceof Reply.StreamEvent.Data)))
        .takeUntilOther(aborted)
        .concatWith(
            Flux.defer(
                () ->
                    isEnded.get()
                        ? Flux.empty()
                        : Flux.just(new Reply.StreamEvent.Failed(nodeStopped()))));
  }

  private Publisher<Void> sendEvents(
      String requestId, HttpServerResponse response, Flux<Reply.StreamEvent> events) {
    response.status(200).header("Content-Type", "text/event-stream");
    response.header("Cache-Control", "no-store");
    return response.sendObject(events.map(event -> encode(requestId, event)), buffer -> true);
  }

  private ByteBuf encode(String requestId, Reply.StreamEvent event) {
    String text =
        switch (event) {
          case Reply.StreamEvent.Data data -> "data: " + data.body() + "\n\n";
          case Reply.StreamEvent.Complete complete -> "data: [DONE]\n\n";
          case Reply.StreamEvent.Failed failed -> {
            recordRefusal(requestId, failed.refusal());
            yield "event: error\ndata: " + problemBody(requestId, failed.refusal()) + "\n\n";
          }
        };
    return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
  }

  private Publisher<Void> sendProblem(
      String requestId, HttpServerResponse response, Refusal refusal) {
    recordRefusal(requestId, refusal);
    refusal
        .retryAfter()
        .ifPresent(time -> response.header("Retry-After", String.valueOf(roundedUpSeconds(time))));
    return sendText(
        response,
        refusal.reason().status(),
        "application/problem+json",
        problemBody(requestId, refusal));
  }

  private void recordRefusal(String requestId, Refusal refusal) {
    metrics.countRefusal(refusal.reason());
    LogEvent.of("request_refused")
        .with("request", requestId)
        .with("reason", refusal.reason().code())
        .with("executed", refusal.execution().code())
        .info(LOGGER);
  }

  /** Returns the problem JSON (RFC 9457) of a refusal. */
  private static String problemBody(String requestId, Refusal refusal) {
    ObjectNode body = Json.mapper().createObjectNode();
    body.put("type", "urn:dragonflyhill:" + refusal.reason().code());
    body.put("title", refusal.reason().code().replace('_', ' '));
    body.put("status", refusal.reason().status());
    body.put("detail", refusal.detail());
    body.put("reason", refusal.reason().code());
    body.put("executed", refusal.execution().code());
    body.put("request_id", requestId);
    refusal.retryAfter().ifPresent(time -> body.put("retry_after_millis", time.toMillis()));
    return body.toString();
  }

  private static long roundedUpSeconds(Duration time) {
    return Math.max(1, (time.toMillis() + 999) / 1_000);
  }
}
