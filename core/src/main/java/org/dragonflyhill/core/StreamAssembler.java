package org.dragonflyhill.core;

/**
 * Checks that the chunks streamed by runners form one complete response to one request.
 *
 * <p>The same assembler is used when a stream breaks and another one resumes the response: the new
 * stream continues at {@link #offset()}.
 *
 * <pre>{@code
 * StreamAssembler assembler = new StreamAssembler("request-1", "v1");
 * switch (assembler.acceptChunk("request-1", "v1", offset, tokens)) {
 *   case TAKE -> relay(text);
 *   case DROP -> {}
 *   default -> resumeAt(assembler.offset());
 * }
 * }</pre>
 *
 * <p>Not thread-safe. Use one instance per request. No argument may be null.
 */
public final class StreamAssembler {

  private final String requestId;
  private final String weightVersion;
  private int offset;

  /**
   * Creates an assembler at offset 0.
   *
   * @param requestId request id expected in every chunk
   * @param weightVersion weight version expected in every chunk
   */
  public StreamAssembler(String requestId, String weightVersion) {
    this.requestId = requestId;
    this.weightVersion = weightVersion;
  }

  /** Returns the number of tokens accepted so far. */
  public int offset() {
    return offset;
  }

  /**
   * Checks a chunk, and advances the offset if the verdict is {@link Verdict#TAKE}.
   *
   * @param chunkRequestId request id of the chunk
   * @param chunkWeightVersion weight version of the chunk
   * @param chunkOffset number of tokens of the response before the chunk
   * @param tokens number of tokens in the chunk
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
      // The sum is a long because the token count comes from the stream and could overflow an int.
      boolean isDuplicate = (long) chunkOffset + tokens <= offset;
      return isDuplicate ? Verdict.DROP : Verdict.MALFORMED;
    }
    offset += tokens;
    return Verdict.TAKE;
  }

  /**
   * Checks the end marker of a stream. The response is complete only if the verdict is {@link
   * Verdict#TAKE}.
   *
   * @param endRequestId request id of the end marker
   * @param totalTokens total number of tokens of the response, according to the end marker
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

  /** Result of the check of a chunk or an end marker. */
  public enum Verdict {
    /** It continues or ends the response. */
    TAKE,
    /** It is a duplicate: all of its tokens were accepted before. */
    DROP,
    /** It belongs to another request. */
    CROSSED,
    /** Tokens before it are missing. */
    GAP,
    /** It was computed with another weight version. */
    WRONG_WEIGHT_VERSION,
    /** Its token numbers are invalid or contradict those accepted before. */
    MALFORMED;

    /** Returns whether the stream is faulty and must not be read further. */
    public boolean isFault() {
      return this != TAKE && this != DROP;
    }

    /** Returns the name used in metrics. */
    public String code() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }
}
