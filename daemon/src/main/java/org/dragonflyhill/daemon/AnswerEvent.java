package org.dragonflyhill.daemon;

import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.ports.RunnerPort;

/**
 * One event of an answer whose parts were checked: text in order, then exactly one last event.
 *
 * <p>All variants are immutable and thread-safe; no component is null.
 */
public sealed interface AnswerEvent {

  /**
   * The next text of the answer.
   *
   * @param text the text
   */
  record Text(String text) implements AnswerEvent {}

  /**
   * The answer is whole.
   *
   * @param end what the runner said at the end
   */
  record Complete(RunnerPort.Event.End end) implements AnswerEvent {}

  /**
   * No more of the answer will come.
   *
   * @param refusal why
   */
  record Failed(Refusal refusal) implements AnswerEvent {}
}
