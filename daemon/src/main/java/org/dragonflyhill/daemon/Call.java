package org.dragonflyhill.daemon;

/** What a caller asks for. All variants are immutable and thread-safe; no component is null. */
public sealed interface Call {

  /**
   * A completion of a prompt by a model.
   *
   * @param model name of the model
   * @param prompt the whole prompt
   * @param maxTokens most tokens to generate
   * @param isStreamed whether the answer is streamed
   * @param isChat whether the answer has the chat shape
   */
  record Completion(String model, String prompt, int maxTokens, boolean isStreamed, boolean isChat)
      implements Call {}

  /**
   * A call of a plain service.
   *
   * @param service name of the service
   * @param operation name of the operation
   * @param body JSON body
   */
  record ServiceCall(String service, String operation, String body) implements Call {}

  /**
   * A question for the outcome of an earlier request.
   *
   * @param idempotencyKey the earlier request's key
   */
  record OutcomeQuery(String idempotencyKey) implements Call {}
}
