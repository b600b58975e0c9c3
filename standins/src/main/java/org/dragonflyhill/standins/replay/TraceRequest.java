package org.dragonflyhill.standins.replay;

import java.util.List;

/**
 * One line of a trace: a request as it arrived.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param arrivalMillis milliseconds since the start of the trace
 * @param organisation who asks
 * @param task name of the task
 * @param urgent whether it goes ahead of ordinary work
 * @param repeatable whether it may run more than once
 * @param deadlineMillis time from arrival to the last token within which the answer is of use
 * @param pieces identities of the full pieces of the prompt, in order; equal means same content
 * @param tailTokens tokens after the last full piece
 * @param outputTokens tokens of the answer
 */
public record TraceRequest(
    long arrivalMillis,
    String organisation,
    String task,
    boolean urgent,
    boolean repeatable,
    long deadlineMillis,
    List<String> pieces,
    int tailTokens,
    int outputTokens) {

  /** Tokens of one piece. */
  public static final int PIECE_TOKENS = 2_000;

  /** Copies the list so that the record stays immutable. */
  public TraceRequest {
    pieces = List.copyOf(pieces);
  }

  /** Returns the tokens of the whole prompt. */
  public long promptTokens() {
    return (long) pieces.size() * PIECE_TOKENS + tailTokens;
  }

  /** Returns the arrival in microseconds since the start of the trace. */
  public long arrivalMicros() {
    return arrivalMillis * 1_000;
  }

  /** Returns the time by which the answer must be whole, in microseconds. */
  public long deadlineMicros() {
    return (arrivalMillis + deadlineMillis) * 1_000;
  }
}
