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
public interface CallDialect {

  /** Reads a caller's head, or says what is wrong with it. */
  Either<String, CallHead> call(HttpRequest request);

  /** Takes the fields off a caller's head that only the system may set. */
  void strip(HttpHeaders headers, boolean hasOrganisations);

  /** Adds to a head what a runner is told. */
  void address(HttpHeaders headers, Dispatch dispatch);

  /** Reads a runner's head. */
  ReplyHead reply(HttpResponse response);

  /** Adds the id of a request to an answer of the node's own. */
  void identify(HttpHeaders headers, String requestId);

  /**
   * What a caller's head says.
   *
   * @param id id of the request, empty if there is none
   * @param timeLeft how long the caller will wait
   * @param prompt the prompt, empty for plain requests
   * @param key the caller's key
   * @param lastEventId id of the last event that the caller has
   */
  record CallHead(
      Optional<String> id,
      Optional<Duration> timeLeft,
      Optional<Prompt> prompt,
      Optional<String> key,
      Optional<String> lastEventId) {}

  /**
   * What a runner is told with a request.
   *
   * @param runnerId runner that is meant
   * @param timeLeft how long the answer is waited for
   * @param organisation whose request it is
   * @param urgency rank of the request, 0 for the first
   * @param cache what to do with KV cache, empty for plain requests
   * @param lastEventId event after which a stream goes on
   */
  record Dispatch(
      String runnerId,
      Duration timeLeft,
      Optional<String> organisation,
      OptionalInt urgency,
      Optional<CacheUse> cache,
      Optional<String> lastEventId) {}

  /**
   * What a runner does with KV cache.
   *
   * @param salt under which it finds and keeps parts
   * @param weightVersion version that it must have, empty if unknown
   * @param fetches where it fetches each part from, empty for none
   * @param fetchUntil time on the runners' clock by which fetches end, in milliseconds
   * @param saves where it saves each part, empty for none
   */
  record CacheUse(
      String salt,
      OptionalLong weightVersion,
      List<Optional<Endpoint>> fetches,
      OptionalLong fetchUntil,
      List<Optional<Endpoint>> saves) {}

  /**
   * What a runner's head says.
   *
   * @param requestId request that it answers
   * @param runnerId runner that answers
   * @param isNotRun whether the runner did not run the request and never will
   * @param weightVersion version of the weights
   * @param idleTimeout how long the runner keeps an idle connection
   */
  record ReplyHead(
      Optional<String> requestId,
      Optional<String> runnerId,
      boolean isNotRun,
      OptionalLong weightVersion,
      Optional<Duration> idleTimeout) {}
}
