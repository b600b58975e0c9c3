package org.dragonflyhill.ports;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.net.ConnectException;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Makes HTTP calls. The error of a failed call tells whether the call may have had an effect.
 *
 * <pre>{@code
 * HttpCaller caller = new HttpCaller("runners", 500, Duration.ofSeconds(1));
 * Mono<Either<PlatformError, HttpCaller.Reply>> reply =
 *     caller.call(HttpMethod.GET, "127.0.0.1:8080", "/load", List.of(), "", timeout);
 * }</pre>
 *
 * <p>The automatic retry of the HTTP library is disabled, so no request is sent twice. Thread-safe;
 * no argument may be null.
 */
public final class HttpCaller implements AutoCloseable {

  /** Maximum length of a response body in bytes. A longer one is an error. */
  private static final int MAX_REPLY_BYTES = 16 * 1_024 * 1_024;

  private final ConnectionProvider connections;
  private final HttpClient client;

  /**
   * Creates a caller with its own connection pool.
   *
   * @param name name of the connection pool
   * @param maxConnections maximum number of connections to one address
   * @param connectTimeout time limit for establishing a connection
   */
  public HttpCaller(String name, int maxConnections, Duration connectTimeout) {
    this(
        ConnectionProvider.builder(name)
            .maxConnections(maxConnections)
            .pendingAcquireMaxCount(maxConnections * 4)
            .pendingAcquireTimeout(connectTimeout.multipliedBy(2))
            .build(),
        connectTimeout);
  }

  private HttpCaller(ConnectionProvider connections, Duration connectTimeout) {
    this.connections = connections;
    client =
        HttpClient.create(connections)
            .disableRetry(true)
            .doOnChannelInit(
                (observer, channel, address) ->
                    channel.pipeline().addFirst(WriteErrorHandler.INSTANCE))
            .option(
                io.netty.channel.ChannelOption.CONNECT_TIMEOUT_MILLIS,
                Math.toIntExact(connectTimeout.toMillis()));
  }

  /**
   * Returns a caller that opens a new connection for each call. If the server closes a pooled
   * connection while it is idle, a call on it fails only after the request was written, and it is
   * then unknown whether the server received it.
   *
   * @param connectTimeout time limit for establishing a connection
   */
  public static HttpCaller withoutPool(Duration connectTimeout) {
    return new HttpCaller(ConnectionProvider.newConnection(), connectTimeout);
  }

  /**
   * Makes a call and reads the complete response. A status other than 2xx is an error.
   *
   * @param method HTTP method
   * @param address {@code host:port}
   * @param path path, with query parameters if any
   * @param headers headers other than the content type
   * @param body JSON body, empty if there is none
   * @param timeout time limit for the whole call
   */
  public Mono<Either<PlatformError, Reply>> call(
      HttpMethod method,
      String address,
      String path,
      List<Header> headers,
      String body,
      Duration timeout) {
    return request(method, address, path, headers, body)
        .response((response, content) -> readReply(response, content))
        .single()
        .timeout(timeout)
        .map(reply -> requireSuccess(address, reply))
        .onErrorResume(error -> Mono.just(Either.left(classify(address, error))));
  }

  /**
   * Makes a POST call that must not be repeated and reads the complete response, whatever its
   * status.
   *
   * @param address {@code host:port}
   * @param path path, with query parameters if any
   * @param headers headers other than the content type
   * @param body JSON body
   * @param timeout time limit for the whole call
   * @param mayStart checked once a connection is established, right before the first byte is sent;
   *     if false, nothing is sent and the call fails with {@link PlatformError.NotSent}
   */
  public Mono<Either<PlatformError, Reply>> callOnce(
      String address,
      String path,
      List<Header> headers,
      String body,
      Duration timeout,
      BooleanSupplier mayStart) {
    return clientWithHeaders(headers, true)
        .request(HttpMethod.POST)
        .uri("http://" + address + path)
        .send(
            (request, outbound) ->
                mayStart.getAsBoolean()
                    ? outbound.sendByteArray(Mono.just(body.getBytes(StandardCharsets.UTF_8)))
                    : Mono.error(new NotStartedException()))
        .response((response, content) -> readReply(response, content))
        .single()
        .timeout(timeout)
        .map(Either::<PlatformError, Reply>right)
        .onErrorResume(error -> Mono.just(Either.left(classify(address, error))));
  }

  /**
   * Makes a call and streams the lines of the response body. Errors can be converted with {@link
   * #classify}.
   */
  public Flux<String> streamLines(HttpMethod method, String address, String path, String body) {
    return request(method, address, path, List.of(), body)
        .response(
            (response, content) ->
                response.status().code() == 200
                    ? LineSplitter.lines(content.asByteArray())
                    : readReply(response, content)
                        .flatMapMany(
                            reply ->
                                Flux.error(new StatusException(reply.status(), reply.body()))));
  }

  /** Converts an exception of a call into a {@link PlatformError}. */
  public static PlatformError classify(String address, Throwable error) {
    if (error instanceof StatusException status) {
      return new PlatformError.Refused(status.status, address + ": " + status.getMessage());
    }
    String detail = address + ": " + error;
    boolean isUnsent =
        error instanceof ConnectException
            || error instanceof NotStartedException
            || error instanceof UnknownHostException
            || error instanceof io.netty.channel.ConnectTimeoutException
            || error
                instanceof reactor.netty.internal.shaded.reactor.pool.PoolAcquireTimeoutException
            || error
                instanceof
                reactor.netty.internal.shaded.reactor.pool.PoolAcquirePendingLimitException;
    return isUnsent ? new PlatformError.NotSent(detail) : new PlatformError.Lost(detail);
  }

  @Override
  public void close() {
    connections.dispose();
  }

  private HttpClient.ResponseReceiver<?> request(
      HttpMethod method, String address, String path, List<Header> headers, String body) {
    return clientWithHeaders(headers, !body.isEmpty())
        .request(method)
        .uri("http://" + address + path)
        .send(body.isEmpty() ? Mono.empty() : ByteBufFlux.fromString(Mono.just(body)));
  }

  private HttpClient clientWithHeaders(List<Header> headers, boolean hasBody) {
    return client.headers(
        requestHeaders -> {
          headers.forEach(header -> requestHeaders.set(header.name(), header.value()));
          if (hasBody) {
            requestHeaders.set("Content-Type", "application/json");
          }
        });
  }

  private static Mono<Reply> readReply(HttpClientResponse response, ByteBufFlux content) {
    return content
        .asByteArray()
        .reduceWith(ByteArrayOutputStream::new, HttpCaller::append)
        .map(body -> new Reply(response.status().code(), body.toString(StandardCharsets.UTF_8)));
  }

  private static ByteArrayOutputStream append(ByteArrayOutputStream body, byte[] block) {
    if (body.size() + block.length > MAX_REPLY_BYTES) {
      throw new IllegalStateException("response exceeds " + MAX_REPLY_BYTES + " bytes");
    }
    body.writeBytes(block);
    return body;
  }

  private static Either<PlatformError, Reply> requireSuccess(String address, Reply reply) {
    if (reply.status() >= 200 && reply.status() < 300) {
      return Either.right(reply);
    }
    return Either.left(new PlatformError.Refused(reply.status(), address + ": " + reply.body()));
  }

  /**
   * An HTTP header.
   *
   * @param name name of the header
   * @param value value of the header
   */
  public record Header(String name, String value) {}

  /**
   * A complete response.
   *
   * @param status HTTP status code
   * @param body response body as text
   */
  public record Reply(int status, String body) {

    /** Parses the body as JSON. */
    public <T> Either<PlatformError, T> read(Class<T> type) {
      return Json.read(body, type).mapLeft(PlatformError.Malformed::new);
    }
  }

  private static final class NotStartedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    NotStartedException() {
      super("the call was cancelled before its first byte was sent", null, false, false);
    }
  }

  private static final class StatusException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final int status;

    StatusException(int status, String body) {
      super(body, null, false, false);
      this.status = status;
    }
  }
}
