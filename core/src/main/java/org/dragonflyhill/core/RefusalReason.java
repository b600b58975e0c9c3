package org.dragonflyhill.core;

/**
 * The reasons for error responses, each with its HTTP status. Their codes are stable and also name
 * the error counters.
 *
 * <p>Thread-safe.
 */
public enum RefusalReason {
  /** The body or query is invalid for the called path. */
  BAD_REQUEST(400),
  /** The API key is missing or unknown. */
  UNAUTHENTICATED(401),
  /** The path, request, model or operation does not exist for this organisation. */
  NOT_FOUND(404),
  /** The path does not support the HTTP method. */
  METHOD_NOT_ALLOWED(405),
  /** The caller took too long to send the request. */
  REQUEST_TIMEOUT(408),
  /** The idempotency key was used before with a different request. */
  KEY_REUSED(422),
  /** A non-repeatable request has no idempotency key. */
  KEY_MISSING(400),
  /** The key was last used longer ago than the replay period of {@link ClaimWindow}. */
  KEY_OUTSIDE_WINDOW(409),
  /** The node released its claim because too much time passed before it could dispatch. */
  CLAIM_EXPIRED(503),
  /** A duplicate of the request is running. */
  IN_PROGRESS(409),
  /** The request was claimed before, and its outcome is unknown. */
  OUTCOME_UNKNOWN(409),
  /** The request ran, but its response was too large to store or was lost. */
  ANSWER_NOT_KEPT(409),
  /** The request line or the headers are too large or not valid HTTP. */
  MALFORMED_HTTP(400),
  /** Too many connections are open on this node. */
  TOO_MANY_CONNECTIONS(503),
  /** The request body is larger than allowed. */
  BODY_TOO_LARGE(413),
  /** The organisation has exceeded its rate limit. */
  ORGANISATION_LIMIT(429),
  /** The queue is full. */
  QUEUE_FULL(503),
  /** The request cannot be completed before its deadline. */
  DEADLINE_UNREACHABLE(503),
  /** The deadline of the request has passed. */
  DEADLINE_PASSED(504),
  /** No endpoint is available for the request. */
  NO_ENDPOINT(503),
  /** This node has not loaded a configuration yet. */
  NO_CONFIGURATION(503),
  /** The claim could not be appended to the log. */
  LOG_UNAVAILABLE(503),
  /** This node has not read all claims yet. */
  CLAIMS_NOT_READ(503),
  /** This node is shutting down. */
  STOPPING(503),
  /** The endpoint failed. */
  ENDPOINT_FAILED(502),
  /** The endpoint responded with a different weight version than the request needs. */
  WRONG_WEIGHT_VERSION(502),
  /** The response stream of the endpoint ended before the response was complete. */
  STREAM_CUT(502),
  /** An internal error of this node. */
  INTERNAL(500);

  private final int status;

  RefusalReason(int status) {
    this.status = status;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns the code used in error responses and metrics, such as {@code queue_full}. */
  public String code() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
