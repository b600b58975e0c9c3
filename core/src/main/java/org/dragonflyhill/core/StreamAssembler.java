package org.dragonflyhill.core;

/**
 * Checks that the chunks of a runner make up one whole answer to one request.
 *
 * <p>It outlives a broken stream: the next one goes on at {@link #offset()}.
 *
 * <pre>{@code
 * StreamAssembler assembler = new StreamAssembler("request-1", "v1");
 * switch (assembler.chunk("request-1", "v1", offset, tokens)) {
 *   case TAKE -> relay(text);
 *   case DROP -> {}
 *   default -> resumeAt(assembler.offset());
 * }
 * }</pre>
 *
 * <p>Not thread-safe: one for each request. No argument may be null.
 */
public final class StreamAssembler {

  private final String requestId;
  private final String weightVersion;
  private int offset;

  /**
   * Creates an assembler that expects the first token.
   *
   * @param requestId id that every chunk must carry
   * @param weightVersion weight version that every chunk must carry
   */
  public StreamAssembler(String requestId, String weightVersion) {
    this.requestId = requestId;
    this.weightVersion = weightVersion;
  }

  /** Returns the number of tokens taken so far. */
  public int offset() {
    return offset;
  }

  /**
   * Judges a chunk, and counts its tokens if it is to be taken.
   *
   * @param chunkRequestId request id that it carries
   * @param chunkWeightVersion weight version that it carries
   * @param chunkOffset tokens of the answer before it
   * @param tokens tokens in it
   */
  public Verdict acceptChunk(
      String chunkRequestId, String chunkWeightVersion, int chunkOffset, int tokens) {
    if (!chunkRequestId.equals(requestId)) {
      return Verdict.CROSSED;
    }
    if (!chunkWeightVersion.equals(weightVersion)) {
      return Verdict.WRONG_WEIGHT_VERSION;
    }
    if (chunkOffset > offset) {
      return Verdict.GAP;
    }
    if (tokens < 1 || chunkOffset < 0) {
      return Verdict.MALFORMED;
    }
    if (chunkOffset < offset) {
      // Tokens are compared as a sum in long so that a huge count cannot overflow.
      boolean isDuplicate = (long) chunkOffset + tokens <= offset;
      return isDuplicate ? Verdict.DROP : Verdict.MALFORMED;
    }
    offset += tokens;
    return Verdict.TAKE;
  }

  /**
   * Judges the explicit end: only {@link Verdict#TAKE} makes the answer whole.
   *
   * @param endRequestId request id that it carries
   * @param totalTokens tokens of the whole answer
   */
  public Verdict acceptEnd(String endRequestId, int totalTokens) {
    if (!endRequestId.equals(requestId)) {
      return Verdict.CROSSED;
    }
    if (totalTokens > offset) {
      return Verdict.GAP;
    }
    return totalTokens == offset ? Verdict.TAKE : Verdict.MALFORMED;
  }

  /** What to do with a chunk or an end. */
  public enum Verdict {
    /** It is the next part of the answer. */
    TAKE,
    /** The caller already has it. */
    DROP,
    /** It belongs to another request. */
    CROSSED,
    /** Tokens before it are missing. */
    GAP,
    /** It was made under another weight version. */
    WRONG_WEIGHT_VERSION,
    /** Its numbers contradict those before it. */
    MALFORMED;

    /** Returns whether the stream cannot be trusted any further. */
    public boolean isFault() {
      return this != TAKE && this != DROP;
    }

    /** Returns the name used in metrics. */
    public String code() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }
}
