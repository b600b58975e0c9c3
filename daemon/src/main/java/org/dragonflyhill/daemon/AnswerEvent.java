package org.dragonflyhill.daemon;

import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.ports.RunnerPort;

/**
 * An event of a verified response: any number of {@link Text} events in order, then exactly one
 * {@link Complete} or {@link Failed} event.
 *
 * <p>All variants are immutable and thread-safe. Components are never null.
 */
public sealed interface AnswerEvent {

  /**
   * The next part of the response text.
   *
   * @param text the text
   */
  record Text(String text) implements AnswerEvent {}

  /**
   * The response is complete.
   *
   * @param end the end marker of the runner
   */
  record Complete(RunnerPort.Event.End end) implements AnswerEvent {}

  /**
   * The response ends without being complete.
   *
   * @param refusal the error to return to the caller
   */
  record Failed(Refusal refusal) implements AnswerEvent {}
}
