package org.dragonflyhill.core;

/**
 * Stable reasons for which a request gets an error, each with its HTTP status and counter.
 *
 * <p>Thread-safe.
 */
public enum RefusalReason {
  /** The body or query is not what the call expects. */
  BAD_REQUEST(400),
  /** The bearer key is missing or unknown. */
  UNAUTHENTICATED(401),
  /** The path, request, model or operation does not exist for this organisation. */
  NOT_FOUND(404),
  /** The path exists, but not for this method. */
  METHOD_NOT_ALLOWED(405),
  /** The caller took too long to send the request. */
  REQUEST_TIMEOUT(408),
  /** The idempotency key was used before with another request. */
  KEY_REUSED(422),
  /** The non-repeatable request carries no idempotency key. */
  KEY_MISSING(400),
  /** The idempotency key lies outside the window in which keys are recognised. */
  KEY_OUTSIDE_WINDOW(409),
  /** The node was held up between its claim and the dispatch, and gave the claim up. */
  CLAIM_EXPIRED(503),
  /** A copy of the request is running. */
  IN_PROGRESS(409),
  /** The request was claimed, and its outcome is not known. */
  OUTCOME_UNKNOWN(409),
  /** The request ran, and its answer was too large to be kept or is lost. */
  ANSWER_NOT_KEPT(409),
  /** The request line or the headers are too large or no HTTP. */
  MALFORMED_HTTP(400),
  /** Too many connections are open on this node. */
  TOO_MANY_CONNECTIONS(503),
  /** The body is larger than allowed. */
  BODY_TOO_LARGE(413),
  /** The organisation has used up its limit. */
  ORGANISATION_LIMIT(429),
  /** The queue is full. */
  QUEUE_FULL(503),
  /** The deadline cannot be met. */
  DEADLINE_UNREACHABLE(503),
  /** The deadline has passed. */
  DEADLINE_PASSED(504),
  /** No endpoint may take the request. */
  NO_ENDPOINT(503),
  /** This node has no configuration yet. */
  NO_CONFIGURATION(503),
  /** The log cannot take the claim. */
  LOG_UNAVAILABLE(503),
  /** This node has not read all claims yet. */
  CLAIMS_NOT_READ(503),
  /** The node is stopping. */
  STOPPING(503),
  /** The endpoint failed. */
  ENDPOINT_FAILED(502),
  /** The endpoint answered under another weight version. */
  WRONG_WEIGHT_VERSION(502),
  /** The endpoint's stream ended before the answer did. */
  STREAM_CUT(502),
  /** A fault of this program. */
  INTERNAL(500);

  private final int status;

  RefusalReason(int status) {
    this.status = status;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns the code used towards callers and in metrics, such as {@code queue_full}. */
  public String code() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
