package org.dragonflyhill.daemon.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.Prompt;

/**
 * Reads and writes the HTTP header fields that nodes exchange with callers and runners.
 *
 * <p>No argument, result or record component is null.
 */
public interface HeaderCodec {

  /** Parses the header fields of a caller's request; a left value describes the error. */
  Either<String, RequestHeaders> parseRequest(HttpRequest request);

  /**
   * Removes the fields that a node must not forward from a caller to a runner, such as those that
   * only nodes may set.
   *
   * @param headers header fields to change
   * @param hasOrganisations whether organisations are configured, in which case the Authorization
   *     field holds the key of one and is removed too
   */
  void removeReservedHeaders(HttpHeaders headers, boolean hasOrganisations);

  /** Adds the fields that tell a runner how to run a request. */
  void addDispatchHeaders(HttpHeaders headers, DispatchInfo dispatch);

  /** Sets for how long the caller still waits, on a request that is forwarded to a peer. */
  void setTimeLeft(HttpHeaders headers, Duration timeLeft);

  /** Parses the header fields of a runner's response. */
  ResponseHeaders parseResponse(HttpResponse response);

  /** Sets the id of the request on a response that the node itself generates. */
  void setRequestId(HttpHeaders headers, String requestId);

  /**
   * Header fields of a caller's request.
   *
   * @param id id of the request, empty if the caller sent none
   * @param timeLeft how long the caller waits for the response, empty if not given
   * @param prompt description of the prompt, empty for requests without one
   * @param apiKey the caller's API key
   * @param lastEventId id of the last event that the caller received of a stream to resume
   * @param resumedAttempt id of the caller's attempt that brought the first event of that stream,
   *     empty if the caller names none; a left value describes an id that cannot be read
   */
  record RequestHeaders(
      Optional<String> id,
      Optional<Duration> timeLeft,
      Optional<Prompt> prompt,
      Optional<String> apiKey,
      Optional<String> lastEventId,
      Either<String, Optional<String>> resumedAttempt) {}

  /**
   * What a node tells a runner along with a request.
   *
   * @param runnerId id of the runner that the request is for
   * @param timeLeft how long the caller still waits for the response
   * @param organisation organisation that the request belongs to
   * @param urgency rank of the request, 0 for the most urgent
   * @param cacheInstructions how to use the KV cache, empty for requests without a prompt
   * @param lastEventId id of the event after which the runner resumes a stream
   */
  record DispatchInfo(
      String runnerId,
      Duration timeLeft,
      Optional<String> organisation,
      OptionalInt urgency,
      Optional<CacheInstructions> cacheInstructions,
      Optional<String> lastEventId) {}

  /**
   * How a runner uses the KV cache for a request.
   *
   * @param salt cache salt under which the runner looks up and keeps prompt parts
   * @param weightVersion weight version that the runner must have, empty if unknown
   * @param fetchSources for each prompt part, the endpoint to fetch it from if the runner lacks it
   * @param fetchDeadlineMillis time on the runners' clock by which fetches must end, in
   *     milliseconds
   * @param saveTargets for each prompt part, the store to save it to
   */
  record CacheInstructions(
      String salt,
      OptionalLong weightVersion,
      List<Optional<Endpoint>> fetchSources,
      OptionalLong fetchDeadlineMillis,
      List<Optional<Endpoint>> saveTargets) {

    /** Returns instructions to use the KV cache under a salt, but no other holder of parts. */
    static CacheInstructions withSalt(String salt) {
      return new CacheInstructions(
          salt, OptionalLong.empty(), List.of(), OptionalLong.empty(), List.of());
    }
  }

  /**
   * Header fields of a runner's response.
   *
   * @param requestId id of the request that the response belongs to
   * @param isAmbiguous whether the response names several requests or signatures
   * @param runnerId id of the runner that sent the response
   * @param isDraining whether the runner that sent the response is about to leave
   * @param isNotRun whether the runner did not run the request and never will
   * @param retryAfter how long a runner that rejects a request wants no others from this node
   * @param rateLimit requests per second that the runner accepts from all nodes together, empty if
   *     it names no limit; a left value describes a limit that cannot be read
   * @param weightVersion version of the weights that the runner has
   * @param idleTimeout how long the runner keeps an idle connection open
   */
  record ResponseHeaders(
      Optional<String> requestId,
      boolean isAmbiguous,
      Optional<String> runnerId,
      boolean isDraining,
      boolean isNotRun,
      Optional<Duration> retryAfter,
      Either<String, OptionalDouble> rateLimit,
      OptionalLong weightVersion,
      Optional<Duration> idleTimeout) {}
}
