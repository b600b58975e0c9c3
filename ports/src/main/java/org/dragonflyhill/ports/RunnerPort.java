package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.util.List;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Completions on a model runner. Thread-safe; nothing is null. */
public interface RunnerPort {

  /**
   * Starts a completion. The flux ends with exactly one {@link Event.End} or {@link Event.Failed};
   * cancelling it closes the connection.
   */
  Flux<Event> complete(String address, CompletionRequest request);

  /** Returns the runner's load, as it last measured it. */
  Mono<Either<PlatformError, Load>> load(String address);

  /** Returns whether an error says that the runner is leaving. */
  default boolean isLeaving(PlatformError error) {
    return false;
  }

  /**
   * What a runner is asked to do.
   *
   * @param requestId id that every chunk must carry
   * @param organisation name of the organisation
   * @param model name of the model
   * @param weightVersion version of the weights that must answer
   * @param prompt the whole prompt
   * @param pieceIds ids of the prompt's full pieces, in order
   * @param pieceTokens tokens of one piece
   * @param maxTokens most tokens to generate
   * @param resumeOffset tokens of the answer that the caller already has
   * @param isUrgent whether it goes ahead of ordinary work
   * @param imports pieces to fetch from stores before the prefill
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
   * A piece that a runner should fetch from a store.
   *
   * @param pieceId id of the piece
   * @param storeAddress {@code host:port} of the store
   * @param objectName name of the stored object
   * @param length bytes of the object
   * @param sha256 lower-case hexadecimal digest of the object
   */
  record PieceImport(
      String pieceId, String storeAddress, String objectName, long length, String sha256) {}

  /** One event of a completion. */
  sealed interface Event {

    /**
     * Some text of the answer.
     *
     * @param requestId id of the request that it answers
     * @param offset number of tokens of the answer before this chunk
     * @param tokens number of tokens in this chunk
     * @param text the text
     * @param weightVersion version of the weights that made it
     */
    record Chunk(String requestId, int offset, int tokens, String text, String weightVersion)
        implements Event {}

    /**
     * The explicit end of the answer.
     *
     * @param requestId id of the request that it answers
     * @param totalTokens tokens of the whole answer, with those before a resume
     * @param promptTokens tokens of the prompt
     * @param cachedTokens prompt tokens that were not computed
     * @param importedTokens those of the cached tokens that came from a store
     * @param finishReason {@code stop} or {@code length}
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
     * The call failed.
     *
     * @param error why
     */
    record Failed(PlatformError error) implements Event {}
  }

  /**
   * Load of a runner.
   *
   * @param running requests that hold a slot
   * @param queued requests that wait
   * @param queuedTokens prompt tokens that wait for prefill
   * @param measuredAtMillis time of the measurement, milliseconds since the epoch
   * @param isLeaving whether the runner itself says that it is leaving
   */
  record Load(
      int running, int queued, long queuedTokens, long measuredAtMillis, boolean isLeaving) {}
}
