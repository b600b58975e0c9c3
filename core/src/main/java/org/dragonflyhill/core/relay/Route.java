package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A rule that maps requests to services by host name and path. Immutable; no component is null.
 *
 * @param name name of the route
 * @param host host name, lower case
 * @param pathPrefix prefix of the path, with a slash at both ends
 * @param kind whether requests may run more than once
 * @param timeout maximum time that a request may take
 * @param targetLatency target time to the answer, or to the first event of a stream; later answers
 *     earn less than their full value
 * @param priority priority, 0 for the most urgent
 * @param shares services among which the requests are split, with their weights
 * @param maxAttempts maximum number of runners to which one request is sent
 * @param isAnonymousAllowed whether requests without an API key are allowed
 * @param isResumable whether a stream may be resumed at another runner
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    Kind kind,
    Duration timeout,
    Duration targetLatency,
    int priority,
    List<Share> shares,
    int maxAttempts,
    boolean isAnonymousAllowed,
    boolean isResumable) {

  /**
   * Difference between the timeout and the caller's remaining time above which a request counts as
   * a retry by the caller. A caller that retries has used up at least this time.
   */
  private static final Duration RETRY_DETECTION_MARGIN = Duration.ofMillis(100);

  /** Creates a route with a copy of the shares. */
  public Route {
    shares = List.copyOf(shares);
  }

  /** Returns whether a request may run more than once. */
  public boolean isRepeatable() {
    return kind == Kind.SAFE || (kind == Kind.STREAM && isResumable);
  }

  /** Returns the age up to which a stream may still be taken up, with a margin for long waits. */
  public Duration maxStreamAge() {
    return timeout.multipliedBy(3).dividedBy(2);
  }

  /**
   * Returns the service that handles a request, chosen in proportion to the weights.
   *
   * @param requestId id of the request, which decides
   */
  public String serviceForRequest(String requestId) {
    int hash = (requestId + name).hashCode() * 0x9E3779B9;
    return serviceFor((hash >>> 8) / (double) (1 << 24));
  }

  /**
   * Returns whether a caller seems to send a request again: it has so much less time left than the
   * timeout of this route that it has spent time on an earlier attempt.
   *
   * @param timeLeft time that the caller had left when it sent the request, if it says so
   */
  public boolean isRetry(Optional<Duration> timeLeft) {
    return timeLeft
        .filter(left -> left.plus(RETRY_DETECTION_MARGIN).compareTo(timeout) < 0)
        .isPresent();
  }

  /**
   * Returns the service for a point of the unit interval, which the weights divide.
   *
   * @param point number from 0 (inclusive) to 1 (exclusive) that is derived from the request
   */
  String serviceFor(double point) {
    double total = shares.stream().mapToInt(Share::weight).sum();
    double cumulative = 0;
    for (Share share : shares) {
      cumulative += share.weight();
      if (point * total < cumulative) {
        return share.service();
      }
    }
    return shares.get(shares.size() - 1).service();
  }

  /** Kind of a route, which decides whether its requests may run more than once. */
  public enum Kind {
    /** Requests may run more than once. */
    SAFE,
    /** Requests may run at most once. */
    UNSAFE,
    /** Answers are event streams. Requests may run at most once unless the route is resumable. */
    STREAM
  }

  /**
   * Share of a service in the requests of a route.
   *
   * @param service name of the service
   * @param weight weight of the service, at least 0
   */
  public record Share(String service, int weight) {}
}
