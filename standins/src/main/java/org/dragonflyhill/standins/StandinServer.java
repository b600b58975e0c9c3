package org.dragonflyhill.standins;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.ports.Json;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * HTTP server of a stand-in, with a second port for administration.
 *
 * <p>On the admin port, {@code POST /faults} replaces the active {@link Faults}; fields that are
 * missing in the JSON body are set to no fault. {@code GET /records} returns the records, one JSON
 * value per line.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class StandinServer implements AutoCloseable {

  private final FaultInjector faultInjector = new FaultInjector();
  private final List<String> records = new ArrayList<>();
  private final DisposableServer server;
  private final DisposableServer admin;

  /**
   * Binds both ports and starts serving.
   *
   * @param host IP address to listen on
   * @param port port of the stand-in, 0 for any free port
   * @param adminPort admin port, 0 for any free port
   * @param handler handles requests to the stand-in
   */
  public StandinServer(String host, int port, int adminPort, Handler handler) {
    server =
        HttpServer.create()
            .host(host)
            .port(port)
            .handle((request, response) -> serve(request, response, handler))
            .bindNow();
    admin = HttpServer.create().host(host).port(adminPort).handle(this::serveAdmin).bindNow();
  }

  /** Returns the port of the stand-in. */
  public int port() {
    return server.port();
  }

  /** Returns the admin port. */
  public int adminPort() {
    return admin.port();
  }

  /** Returns the active faults. */
  public Faults faults() {
    return faultInjector.faults();
  }

  /** Replaces the active faults. */
  public void setFaults(Faults faults) {
    faultInjector.setFaults(faults);
  }

  /** Records an event that actually took place, as opposed to what a response reported. */
  public void record(Object value) {
    synchronized (records) {
      records.add(Json.write(value));
    }
  }

  /** Returns all records as JSON, oldest first. */
  public List<String> records() {
    synchronized (records) {
      return List.copyOf(records);
    }
  }

  @Override
  public void close() {
    admin.disposeNow();
    server.disposeNow();
  }

  private Publisher<Void> serve(
      HttpServerRequest request, HttpServerResponse response, Handler handler) {
    return request
        .receive()
        .aggregate()
        .asByteArray()
        .defaultIfEmpty(new byte[0])
        .flatMap(body -> handle(request, body, handler))
        .flatMap(reply -> Mono.from(write(response, reply)));
  }

  private Mono<StandinReply> handle(HttpServerRequest request, byte[] body, Handler handler) {
    if (faultInjector.consumeRefusal()) {
      return Mono.just(StandinReply.jsonText(503, "{\"error\":\"refused by fault switch\"}"));
    }
    StandinRequest standinRequest = StandinRequest.of(request, body);
    Mono<StandinReply> reply =
        handler
            .handle(standinRequest)
            .onErrorResume(
                IllegalArgumentException.class,
                error -> Mono.just(StandinReply.jsonText(400, Json.write(String.valueOf(error)))));
    if (faultInjector.consumeDrop()) {
      return reply.map(ignored -> new StandinReply.CloseConnection());
    }
    long delay = faultInjector.faults().delayMillis();
    return delay > 0 ? reply.delayElement(Duration.ofMillis(delay)) : reply;
  }

  private static Publisher<Void> write(HttpServerResponse response, StandinReply reply) {
    return switch (reply) {
      case StandinReply.Complete complete ->
          response
              .status(complete.status())
              .header("Content-Type", complete.contentType())
              .sendByteArray(Mono.just(complete.body()));
      case StandinReply.EventStream events ->
          response
              .status(200)
              .header("Content-Type", "text/event-stream")
              .sendObject(
                  events.events().concatMap(event -> encodeEvent(response, event)), buffer -> true);
      case StandinReply.CloseConnection closing ->
          Mono.fromRunnable(() -> closeConnection(response));
    };
  }

  private static Flux<ByteBuf> encodeEvent(HttpServerResponse response, Optional<String> event) {
    if (event.isEmpty()) {
      closeConnection(response);
      return Flux.never();
    }
    byte[] bytes = ("data: " + event.get() + "\n\n").getBytes(StandardCharsets.UTF_8);
    return Flux.just(Unpooled.wrappedBuffer(bytes));
  }

  private static void closeConnection(HttpServerResponse response) {
    response.withConnection(connection -> connection.channel().close());
  }

  private Publisher<Void> serveAdmin(HttpServerRequest request, HttpServerResponse response) {
    if (request.method().equals(HttpMethod.POST) && request.uri().equals("/faults")) {
      return request
          .receive()
          .aggregate()
          .asString()
          .defaultIfEmpty("")
          .flatMap(body -> Mono.from(serveFaults(response, body)));
    }
    byte[] recordLines = String.join("\n", records()).getBytes(StandardCharsets.UTF_8);
    return response.sendByteArray(Mono.just(recordLines));
  }

  private Publisher<Void> serveFaults(HttpServerResponse response, String body) {
    return StandinJson.merge(Faults.NONE, body, Faults.class)
        .fold(
            error -> response.status(400).sendString(Mono.just(error)),
            faults -> {
              setFaults(faults);
              return response.sendString(Mono.just("{}"));
            });
  }

  /** Handles the requests to a stand-in. Thread-safe. */
  public interface Handler {

    /** Handles a request and returns the response. */
    Mono<StandinReply> handle(StandinRequest request);
  }
}
