package org.dragonflyhill.ports;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import reactor.core.publisher.Mono;

/**
 * HTTP client that sends orders to model runners. Immutable and thread-safe; no argument may be
 * null.
 */
public final class HttpOrderClient implements OrderPort {

  private static final String PATH = "/orders/weights";

  private final HttpCaller caller;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param caller makes the HTTP calls
   * @param timeout time limit for a call
   */
  public HttpOrderClient(HttpCaller caller, Duration timeout) {
    this.caller = caller;
    this.timeout = timeout;
  }

  @Override
  public Mono<Either<PlatformError, State>> order(String address, LoadOrder order) {
    return call(HttpMethod.PUT, address, Json.write(order));
  }

  @Override
  public Mono<Either<PlatformError, State>> state(String address) {
    return call(HttpMethod.GET, address, "");
  }

  private Mono<Either<PlatformError, State>> call(HttpMethod method, String address, String body) {
    return caller
        .call(method, address, PATH, List.of(), body, timeout)
        .map(reply -> reply.flatMap(r -> r.read(State.class)));
  }
}
