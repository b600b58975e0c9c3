package org.dragonflyhill.daemon;

import java.time.Instant;
import java.util.Optional;
import org.dragonflyhill.core.ConfigurationObject.Organisation;
import org.dragonflyhill.core.ConfigurationObject.Urgency;

/**
 * A request on its way through the filters.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param requestId id of the request, made by this node
 * @param receivedAt when its body had arrived
 * @param headers what the caller's headers say
 * @param call what the caller asks for
 * @param organisation who asks; empty before authentication
 * @param classification how it is treated; empty before classification
 */
public record RequestContext(
    String requestId,
    Instant receivedAt,
    Headers headers,
    Call call,
    Optional<Organisation> organisation,
    Optional<Classification> classification) {

  /** Returns the same request with its organisation. */
  public RequestContext withOrganisation(Organisation newOrganisation) {
    return new RequestContext(
        requestId, receivedAt, headers, call, Optional.of(newOrganisation), classification);
  }

  /** Returns the same request with its treatment. */
  public RequestContext withClassification(Classification newClassification) {
    return new RequestContext(
        requestId, receivedAt, headers, call, organisation, Optional.of(newClassification));
  }

  /**
   * Returns who asks.
   *
   * @throws IllegalStateException if the request has not passed authentication
   */
  public Organisation requiredOrganisation() {
    return organisation.orElseThrow(
        () -> new IllegalStateException(requestId + " has not passed authentication"));
  }

  /**
   * Returns how the request is treated.
   *
   * @throws IllegalStateException if the request has not passed classification
   */
  public Classification requiredClassification() {
    return classification.orElseThrow(
        () -> new IllegalStateException(requestId + " has not passed classification"));
  }

  /**
   * The headers that matter.
   *
   * @param bearerKey key of the organisation
   * @param idempotencyKey name of a non-repeatable request
   * @param task task of the request, by which a rule is chosen
   * @param deadlineMillis time left, in milliseconds
   */
  public record Headers(
      Optional<String> bearerKey,
      Optional<String> idempotencyKey,
      Optional<String> task,
      Optional<Long> deadlineMillis) {}

  /**
   * How a request is treated, from its rule, its operation and its headers.
   *
   * @param task name of the task
   * @param urgency order in which it is served
   * @param isRepeatable whether it may run more than once
   * @param firstTokenWeight cost of a second until the first token
   * @param recomputeWeight cost of a second of prefill
   * @param deadline when the answer is due
   */
  public record Classification(
      String task,
      Urgency urgency,
      boolean isRepeatable,
      double firstTokenWeight,
      double recomputeWeight,
      Instant deadline) {}
}
