package org.dragonflyhill.core;

import java.util.Optional;

/**
 * One event about a non-repeatable request, as nodes append it to the log.
 *
 * <p>All variants are immutable and thread-safe; no component is null.
 */
public sealed interface ClaimEvent {

  /** Returns which request the event is about. */
  RequestKey key();

  /** Returns the id of the claim that the event is about. */
  String claimId();

  /**
   * A node wants to run the request.
   *
   * @param key the request
   * @param claimId unique id of this claim
   * @param node name of the node
   * @param requestDigest digest of the request, by which a key used twice is told from a copy
   * @param atMillis time of the claim, milliseconds since the epoch
   */
  record Claimed(RequestKey key, String claimId, String node, String requestDigest, long atMillis)
      implements ClaimEvent {}

  /**
   * The request ran and its answer is known.
   *
   * @param key the request
   * @param claimId the claim that ran it
   * @param status HTTP status of the answer
   * @param answer body of the answer; empty where it is too large to be kept
   * @param answerDigest digest of the body
   */
  record Settled(
      RequestKey key, String claimId, int status, Optional<String> answer, String answerDigest)
      implements ClaimEvent {}

  /**
   * The claiming node knows that nothing was sent.
   *
   * @param key the request
   * @param claimId the claim that is given up
   */
  record Released(RequestKey key, String claimId) implements ClaimEvent {}

  /**
   * An operator found out what became of a request whose outcome was unknown.
   *
   * @param key the request
   * @param claimId the claim in question
   * @param executed whether the request was run
   * @param operator who found out
   */
  record Resolved(RequestKey key, String claimId, boolean executed, String operator)
      implements ClaimEvent {}

  /**
   * Names a non-repeatable request.
   *
   * @param organisation name of the organisation
   * @param idempotencyKey the caller's key
   */
  record RequestKey(String organisation, String idempotencyKey) {}
}
