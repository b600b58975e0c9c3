package org.dragonflyhill.ports;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * HTTP client for model runners, which stream completions as server-sent events. Immutable and
 * thread-safe; no argument may be null.
 */
public final class HttpRunnerClient implements RunnerPort {

  /** Body of the response with status 503 by which a leaving runner refuses a completion. */
  public static final String LEAVING_BODY = "{\"error\":\"leaving\"}";

  private static final String DATA_PREFIX = "data:";

  private final HttpCaller caller;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param caller makes the HTTP calls
   * @param timeout time limit for a call that is not a completion
   */
  public HttpRunnerClient(HttpCaller caller, Duration timeout) {
    this.caller = caller;
    this.timeout = timeout;
  }

  @Override
  public Flux<RunnerPort.Event> complete(String address, CompletionRequest request) {
    return caller
        .streamLines(HttpMethod.POST, address, "/v1/completions", Json.write(request))
        .filter(line -> line.startsWith(DATA_PREFIX))
        .map(line -> parseEvent(line.substring(DATA_PREFIX.length()).strip()))
        .onErrorResume(
            error -> Flux.just(new RunnerPort.Event.Failed(HttpCaller.classify(address, error))))
        .concatWith(Flux.just(truncatedStream(address)))
        .takeUntil(event -> !(event instanceof RunnerPort.Event.Chunk));
  }

  @Override
  public Mono<Either<PlatformError, Load>> load(String address) {
    return caller
        .call(HttpMethod.GET, address, "/load", List.of(), "", timeout)
        .map(reply -> reply.flatMap(r -> r.read(Load.class)));
  }

  @Override
  public boolean isLeaving(PlatformError error) {
    return error instanceof PlatformError.Refused refused
        && refused.status() == 503
        && refused.detail().endsWith(LEAVING_BODY);
  }

  private static RunnerPort.Event parseEvent(String data) {
    return Json.read(data, Message.class)
        .map(Message::toEvent)
        .getOrElseGet(fault -> new RunnerPort.Event.Failed(new PlatformError.Malformed(fault)));
  }

  private static RunnerPort.Event truncatedStream(String address) {
    return new RunnerPort.Event.Failed(
        new PlatformError.Lost(address + ": the stream ended before the end of the completion"));
  }

  /**
   * Data of a server-sent event of a runner: either a chunk or the end of a completion.
   *
   * @param chunk a part of the generated text
   * @param end the end of the completion
   */
  public record Message(
      java.util.Optional<RunnerPort.Event.Chunk> chunk,
      java.util.Optional<RunnerPort.Event.End> end) {

    private RunnerPort.Event toEvent() {
      if (chunk.isPresent()) {
        return chunk.get();
      }
      return end.map(RunnerPort.Event.class::cast)
          .orElseGet(
              () ->
                  new RunnerPort.Event.Failed(
                      new PlatformError.Malformed("the event contains neither chunk nor end")));
    }
  }
}
