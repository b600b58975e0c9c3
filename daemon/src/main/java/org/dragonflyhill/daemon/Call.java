package org.dragonflyhill.daemon;

/**
 * Operation that a caller requests. All variants are immutable and thread-safe; no component is
 * null.
 */
public sealed interface Call {

  /**
   * Completion of a prompt by a model.
   *
   * @param model name of the model
   * @param prompt full text of the prompt
   * @param maxTokens maximum number of tokens to generate
   * @param isStreamed whether the response is streamed
   * @param isChat whether the response has the format of chat completions instead of text
   *     completions
   */
  record Completion(String model, String prompt, int maxTokens, boolean isStreamed, boolean isChat)
      implements Call {}

  /**
   * Call of a plain service.
   *
   * @param service name of the service
   * @param operation name of the operation
   * @param body body of the call, a JSON text
   */
  record ServiceCall(String service, String operation, String body) implements Call {}

  /**
   * Query for the outcome of an earlier request.
   *
   * @param idempotencyKey idempotency key of the earlier request
   */
  record OutcomeQuery(String idempotencyKey) implements Call {}
}
