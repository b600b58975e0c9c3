package org.dragonflyhill.daemon.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.Prompt;

/** Names the header fields of callers and runners. Nothing is null. */
public interface HeaderCodec {

  /** Reads a caller's head, or says what is wrong with it. */
  Either<String, RequestHeaders> parseRequest(HttpRequest request);

  /** Takes the fields off a caller's head that only the system may set. */
  void removeReservedHeaders(HttpHeaders headers, boolean hasOrganisations);

  /** Adds to a head what a runner is told. */
  void addDispatchHeaders(HttpHeaders headers, DispatchInfo dispatch);

  /** Reads a runner's head. */
  ResponseHeaders parseResponse(HttpResponse response);

  /** Adds the id of a request to an answer of the node's own. */
  void setRequestId(HttpHeaders headers, String requestId);

  /**
   * What a caller's head says.
   *
   * @param id id of the request, empty if there is none
   * @param timeLeft how long the caller will wait
   * @param prompt the prompt, empty for plain requests
   * @param apiKey the caller's key
   * @param lastEventId id of the last event that the caller has
   */
  record RequestHeaders(
      Optional<String> id,
      Optional<Duration> timeLeft,
      Optional<Prompt> prompt,
      Optional<String> apiKey,
      Optional<String> lastEventId) {}

  /**
   * What a runner is told with a request.
   *
   * @param runnerId runner that is meant
   * @param timeLeft how long the answer is waited for
   * @param organisation whose request it is
   * @param urgency rank of the request, 0 for the first
   * @param cacheInstructions what to do with KV cache, empty for plain requests
   * @param lastEventId event after which a stream goes on
   */
  record DispatchInfo(
      String runnerId,
      Duration timeLeft,
      Optional<String> organisation,
      OptionalInt urgency,
      Optional<CacheInstructions> cacheInstructions,
      Optional<String> lastEventId) {}

  /**
   * What a runner does with KV cache.
   *
   * @param salt under which it finds and keeps parts
   * @param weightVersion version that it must have, empty if unknown
   * @param fetchSources where it fetches each part from, empty for none
   * @param fetchDeadlineMillis time on the runners' clock by which fetches end, in milliseconds
   * @param saveTargets where it saves each part, empty for none
   */
  record CacheInstructions(
      String salt,
      OptionalLong weightVersion,
      List<Optional<Endpoint>> fetchSources,
      OptionalLong fetchDeadlineMillis,
      List<Optional<Endpoint>> saveTargets) {}

  /**
   * What a runner's head says.
   *
   * @param requestId request that it answers
   * @param runnerId runner that answers
   * @param isNotRun whether the runner did not run the request and never will
   * @param weightVersion version of the weights
   * @param idleTimeout how long the runner keeps an idle connection
   */
  record ResponseHeaders(
      Optional<String> requestId,
      Optional<String> runnerId,
      boolean isNotRun,
      OptionalLong weightVersion,
      Optional<Duration> idleTimeout) {}
}
