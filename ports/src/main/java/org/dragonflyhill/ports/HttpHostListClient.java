package org.dragonflyhill.ports;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import reactor.core.publisher.Mono;

/**
 * HTTP client for the host list of the platform. Immutable and thread-safe; no argument may be
 * null.
 */
public final class HttpHostListClient implements HostListPort {

  private final HttpCaller caller;
  private final String address;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param caller makes the HTTP calls
   * @param address {@code host:port} of the host list service
   * @param timeout time limit for a call
   */
  public HttpHostListClient(HttpCaller caller, String address, Duration timeout) {
    this.caller = caller;
    this.address = address;
    this.timeout = timeout;
  }

  @Override
  public Mono<Either<PlatformError, List<Host>>> hosts() {
    return caller
        .call(HttpMethod.GET, address, "/hosts", List.of(), "", timeout)
        .map(
            reply ->
                reply.flatMap(r -> r.read(HostListResponse.class)).map(HostListResponse::hosts));
  }

  /**
   * Response body of the host list service.
   *
   * @param hosts all listed hosts
   */
  public record HostListResponse(List<Host> hosts) {}
}
