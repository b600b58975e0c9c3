package org.dragonflyhill.standins;

import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import reactor.core.publisher.Mono;

/**
 * Stand-in of a plain service: each {@code POST /operations/{name}} is recorded as executed.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class ServiceStandin implements StandinServer.Handler {

  private final AtomicInteger executions = new AtomicInteger();
  private final Consumer<Object> recorder;
  private final InstantSource clock;

  /** Creates a stand-in that hands each execution to a recorder. */
  public ServiceStandin(Consumer<Object> recorder, InstantSource clock) {
    this.recorder = recorder;
    this.clock = clock;
  }

  @Override
  public Mono<StandinReply> handle(StandinRequest request) {
    int execution = executions.incrementAndGet();
    recorder.accept(
        new Executed(
            request.requestId(),
            request.organisation(),
            request.pathSegments().getLast(),
            request.bodyText(),
            clock.millis()));
    return Mono.just(
        StandinReply.json(new OperationResponse(request.pathSegments().getLast(), execution)));
  }

  /**
   * Record of an execution.
   *
   * @param requestId id of the request
   * @param organisation who asked
   * @param operation name of the operation
   * @param body JSON body
   * @param atMillis when it was executed, milliseconds since the epoch
   */
  public record Executed(
      String requestId, String organisation, String operation, String body, long atMillis) {}

  /**
   * Answer of the service.
   *
   * @param operation name of the operation
   * @param execution how many executions there were with this one
   */
  public record OperationResponse(String operation, int execution) {}
}
