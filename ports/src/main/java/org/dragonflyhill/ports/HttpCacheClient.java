package org.dragonflyhill.ports;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import reactor.core.publisher.Mono;

/**
 * HTTP client for the prefix caches of model runners. Immutable and thread-safe; no argument may be
 * null.
 */
public final class HttpCacheClient implements CachePort {

  private final HttpCaller caller;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param caller makes the HTTP calls
   * @param timeout time limit for a call, in addition to the wait that the call asks for
   */
  public HttpCacheClient(HttpCaller caller, Duration timeout) {
    this.caller = caller;
    this.timeout = timeout;
  }

  @Override
  public Mono<Either<PlatformError, Events>> events(
      String address, long fromSequence, Duration wait) {
    String path = "/cache/events?from=%d&wait_millis=%d".formatted(fromSequence, wait.toMillis());
    return caller
        .call(HttpMethod.GET, address, path, List.of(), "", timeout.plus(wait))
        .map(reply -> reply.flatMap(r -> r.read(Events.class)));
  }

  @Override
  public Mono<Either<PlatformError, Contents>> contents(String address) {
    return caller
        .call(HttpMethod.GET, address, "/cache/contents", List.of(), "", timeout)
        .map(reply -> reply.flatMap(r -> r.read(Contents.class)));
  }

  @Override
  public Mono<Either<PlatformError, ExportResult>> export(
      String address, ExportRequest request, Duration exportTimeout) {
    return caller
        .call(
            HttpMethod.POST,
            address,
            "/cache/export",
            List.of(),
            Json.write(request),
            exportTimeout)
        .map(reply -> reply.flatMap(r -> r.read(ExportResult.class)));
  }
}
