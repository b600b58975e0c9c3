package org.dragonflyhill.ports;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import reactor.core.publisher.Mono;

/**
 * HTTP client for the log service.
 *
 * <pre>{@code
 * LogPort log = new HttpLogClient(caller, "127.0.0.1:7000", Duration.ofSeconds(2));
 * }</pre>
 *
 * <p>Immutable and thread-safe; no argument may be null.
 */
public final class HttpLogClient implements LogPort {

  private final HttpCaller caller;
  private final String address;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param caller makes the HTTP calls
   * @param address {@code host:port} of the log service
   * @param timeout time limit for a call, in addition to the wait that a read asks for
   */
  public HttpLogClient(HttpCaller caller, String address, Duration timeout) {
    this.caller = caller;
    this.address = address;
    this.timeout = timeout;
  }

  @Override
  public Mono<Either<PlatformError, Long>> append(String stream, List<String> records) {
    String path = "/streams/" + stream + "/records";
    return caller
        .call(
            HttpMethod.POST,
            address,
            path,
            List.of(),
            Json.write(new AppendRequest(records)),
            timeout)
        .map(
            reply ->
                reply.flatMap(r -> r.read(AppendResponse.class)).map(AppendResponse::firstOffset));
  }

  @Override
  public Mono<Either<PlatformError, Page>> read(
      String stream, long fromOffset, int limit, Duration wait) {
    String path =
        "/streams/%s/records?from=%d&limit=%d&wait_millis=%d"
            .formatted(stream, fromOffset, limit, wait.toMillis());
    return caller
        .call(HttpMethod.GET, address, path, List.of(), "", timeout.plus(wait))
        .map(reply -> reply.flatMap(r -> r.read(Page.class)));
  }

  /**
   * Request body of an append.
   *
   * @param records values of the records
   */
  public record AppendRequest(List<String> records) {}

  /**
   * Response body of an append.
   *
   * @param firstOffset offset of the first appended record
   */
  public record AppendResponse(long firstOffset) {}
}
