package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.util.List;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Requests completions from model runners. Thread-safe; nothing is null. */
public interface RunnerPort {

  /**
   * Starts a completion. The last element of the flux is its only {@link Event.End} or {@link
   * Event.Failed}. Cancelling the flux closes the connection.
   */
  Flux<Event> complete(String address, CompletionRequest request);

  /** Returns the load that a runner last measured. */
  Mono<Either<PlatformError, Load>> load(String address);

  /** Returns whether an error means that the runner refused a request because it is leaving. */
  default boolean isLeaving(PlatformError error) {
    return false;
  }

  /**
   * Request for a completion.
   *
   * @param requestId id of the request, which every chunk of the response must carry
   * @param organisation name of the organisation
   * @param model name of the model
   * @param weightVersion version of the weights that must compute the completion
   * @param prompt the complete prompt
   * @param pieceIds ids of the full pieces of the prompt, in order
   * @param pieceTokens number of tokens in a piece
   * @param maxTokens maximum number of tokens to generate
   * @param resumeOffset number of generated tokens that the caller already has, after which the
   *     response starts
   * @param isUrgent whether the request has priority over ordinary requests
   * @param imports pieces to import from stores before the prefill
   */
  record CompletionRequest(
      String requestId,
      String organisation,
      String model,
      String weightVersion,
      String prompt,
      List<String> pieceIds,
      int pieceTokens,
      int maxTokens,
      int resumeOffset,
      boolean isUrgent,
      List<PieceImport> imports) {}

  /**
   * A piece that a runner should import from a store.
   *
   * @param pieceId id of the piece
   * @param storeAddress {@code host:port} of the store
   * @param objectName name of the object that contains the piece
   * @param length length of the object in bytes
   * @param sha256 lower-case hexadecimal SHA-256 digest of the object
   */
  record PieceImport(
      String pieceId, String storeAddress, String objectName, long length, String sha256) {}

  /** An event of a completion. */
  sealed interface Event {

    /**
     * A part of the generated text.
     *
     * @param requestId id of the request
     * @param offset number of generated tokens before this chunk
     * @param tokens number of tokens in this chunk
     * @param text text of the chunk
     * @param weightVersion version of the weights that generated it
     */
    record Chunk(String requestId, int offset, int tokens, String text, String weightVersion)
        implements Event {}

    /**
     * The end of a completion.
     *
     * @param requestId id of the request
     * @param totalTokens number of generated tokens, including those before a resume
     * @param promptTokens number of tokens in the prompt
     * @param cachedTokens number of prompt tokens that were cached and needed no prefill
     * @param importedTokens number of cached tokens that were imported from a store
     * @param finishReason why the generation ended: {@code stop} or {@code length}
     */
    record End(
        String requestId,
        int totalTokens,
        long promptTokens,
        long cachedTokens,
        long importedTokens,
        String finishReason)
        implements Event {}

    /**
     * Failure of a completion.
     *
     * @param error cause of the failure
     */
    record Failed(PlatformError error) implements Event {}
  }

  /**
   * The load of a runner.
   *
   * @param running number of requests that occupy a slot
   * @param queued number of waiting requests
   * @param queuedTokens number of prompt tokens waiting for prefill
   * @param measuredAtMillis time of the measurement, milliseconds since the epoch
   * @param isLeaving whether the runner reports that it is leaving
   */
  record Load(
      int running, int queued, long queuedTokens, long measuredAtMillis, boolean isLeaving) {}
}
