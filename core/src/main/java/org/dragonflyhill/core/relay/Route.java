package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.util.List;

/**
 * A rule that sends requests to services. Immutable; no component is null.
 *
 * @param name name of the route
 * @param host host name, lower case
 * @param pathPrefix begin of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeout longest time that a request is kept
 * @param targetLatency time within which an answer (a stream's first event) earns its full worth
 * @param priority rank, 0 for the most urgent
 * @param shares services with their weights
 * @param maxAttempts most runners that one request is sent to
 * @param isAnonymousAllowed whether a request needs no key
 * @param isResumable whether a stream may go on at another runner
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

  /** Copies the shares. */
  public Route {
    shares = List.copyOf(shares);
  }

  /** Returns whether a request may run more than once. */
  public boolean isRepeatable() {
    return kind == Kind.SAFE || (kind == Kind.STREAM && isResumable);
  }

  /**
   * Returns the service of a request.
   *
   * @param point a number from 0 up to 1 that belongs to the request
   */
  public String serviceFor(double point) {
    double total = shares.stream().mapToInt(Share::weight).sum();
    double passed = 0;
    for (Share share : shares) {
      passed += share.weight();
      if (point * total < passed) {
        return share.service();
      }
    }
    return shares.get(shares.size() - 1).service();
  }

  /** What may be repeated. */
  public enum Kind {
    /** May run more than once. */
    SAFE,
    /** May run once at most. */
    UNSAFE,
    /** A stream of events, which may run once at most unless it is resumable. */
    STREAM
  }

  /**
   * A service's part of a route.
   *
   * @param service name of the service
   * @param weight its weight, at least 0
   */
  public record Share(String service, int weight) {}
}
