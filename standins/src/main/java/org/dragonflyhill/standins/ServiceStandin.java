package org.dragonflyhill.standins;

import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import reactor.core.publisher.Mono;

/**
 * Stand-in for a plain service. Each {@code POST /operations/{name}} counts as one execution and is
 * recorded.
 *
 * <p>Thread-safe; no argument may be null.
 */
public final class ServiceStandin implements StandinServer.Handler {

  private final AtomicInteger executions = new AtomicInteger();
  private final Consumer<Object> recorder;
  private final InstantSource clock;

  /** Creates a stand-in that passes a record of each execution to a recorder. */
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
   * @param organisation organisation that sent the request
   * @param operation name of the operation
   * @param body JSON body of the request
   * @param atMillis time of the execution, milliseconds since the epoch
   */
  public record Executed(
      String requestId, String organisation, String operation, String body, long atMillis) {}

  /**
   * Response of the service to an operation.
   *
   * @param operation name of the operation
   * @param execution number of executions so far, including this one
   */
  public record OperationResponse(String operation, int execution) {}
}
