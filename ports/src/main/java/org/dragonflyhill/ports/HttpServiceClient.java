package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import reactor.core.publisher.Mono;

/** HTTP client for plain services. Immutable and thread-safe; no argument may be null. */
public final class HttpServiceClient implements ServicePort {

  private final HttpCaller caller;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param caller makes the HTTP calls
   * @param timeout time limit for a call
   */
  public HttpServiceClient(HttpCaller caller, Duration timeout) {
    this.caller = caller;
    this.timeout = timeout;
  }

  @Override
  public Mono<Either<PlatformError, Answer>> call(
      String address, Call call, BooleanSupplier mayStart) {
    List<HttpCaller.Header> headers = new ArrayList<>();
    headers.add(new HttpCaller.Header("Request-Id", call.requestId()));
    headers.add(new HttpCaller.Header("Organisation", call.organisation()));
    call.idempotencyKey()
        .ifPresent(key -> headers.add(new HttpCaller.Header("Idempotency-Key", key)));
    return caller
        .callOnce(
            address, "/operations/" + call.operation(), headers, call.body(), timeout, mayStart)
        .map(reply -> reply.map(r -> new Answer(r.status(), r.body())));
  }
}
