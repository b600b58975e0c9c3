package org.dragonflyhill.core;

import java.util.Optional;

/**
 * An event in the life of a non-repeatable request, appended to the log by a node.
 *
 * <p>All variants are immutable and thread-safe; no component is null.
 */
public sealed interface ClaimEvent {

  /** Returns the key of the request. */
  RequestKey key();

  /** Returns the id of the claim that the event belongs to. */
  String claimId();

  /**
   * A node claims the right to run the request.
   *
   * @param key key of the request
   * @param claimId unique id of this claim
   * @param node name of the claiming node
   * @param requestDigest digest of the request; tells a duplicate from a different request with the
   *     same key
   * @param atMillis time of the claim, milliseconds since the epoch
   */
  record Claimed(RequestKey key, String claimId, String node, String requestDigest, long atMillis)
      implements ClaimEvent {}

  /**
   * The request ran and its response is known.
   *
   * @param key key of the request
   * @param claimId id of the claim under which the request ran
   * @param status HTTP status of the response
   * @param answer response body; empty if it is too large to store
   * @param answerDigest digest of the response body
   */
  record Settled(
      RequestKey key, String claimId, int status, Optional<String> answer, String answerDigest)
      implements ClaimEvent {}

  /**
   * The claiming node gives up its claim because the request was certainly not sent.
   *
   * @param key key of the request
   * @param claimId id of the released claim
   */
  record Released(RequestKey key, String claimId) implements ClaimEvent {}

  /**
   * An operator has determined whether a request with an unknown outcome was run.
   *
   * @param key key of the request
   * @param claimId id of the claim with the unknown outcome
   * @param executed whether the request was run
   * @param operator name of the operator
   */
  record Resolved(RequestKey key, String claimId, boolean executed, String operator)
      implements ClaimEvent {}

  /**
   * Identifies a non-repeatable request.
   *
   * @param organisation name of the caller's organisation
   * @param idempotencyKey idempotency key set by the caller
   */
  record RequestKey(String organisation, String idempotencyKey) {}
}
