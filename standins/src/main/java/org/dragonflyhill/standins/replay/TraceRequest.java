package org.dragonflyhill.standins.replay;

import java.util.List;

/**
 * A request of a trace, one line of its file.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param arrivalMillis arrival, in milliseconds since the start of the trace
 * @param organisation organisation of the caller
 * @param task name of the task
 * @param urgent whether the request takes precedence over ordinary ones
 * @param repeatable whether the request may run more than once
 * @param deadlineMillis latest time of the last token, in milliseconds since the arrival
 * @param pieces ids of the full pieces of the prompt, in order; equal ids mean equal content
 * @param tailTokens prompt tokens after the last full piece
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

  /** Returns the number of tokens of the prompt. */
  public long promptTokens() {
    return (long) pieces.size() * PIECE_TOKENS + tailTokens;
  }

  /** Returns the arrival in microseconds since the start of the trace. */
  public long arrivalMicros() {
    return arrivalMillis * 1_000;
  }

  /** Returns the deadline of the complete answer, in microseconds since the start of the trace. */
  public long deadlineMicros() {
    return (arrivalMillis + deadlineMillis) * 1_000;
  }
}
