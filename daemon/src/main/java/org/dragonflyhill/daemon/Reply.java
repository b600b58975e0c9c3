package org.dragonflyhill.daemon;

import org.dragonflyhill.core.Refusal;
import reactor.core.publisher.Flux;

/** What a caller gets. All variants are immutable and thread-safe; no component is null. */
public sealed interface Reply {

  /**
   * A whole JSON answer.
   *
   * @param status HTTP status
   * @param body JSON text
   */
  record Json(int status, String body) implements Reply {}

  /**
   * Server-sent events, written as they come. Where the first one is an error, nothing has been
   * written yet and the caller gets a plain problem.
   *
   * @param events the events; the last one is {@link StreamEvent.Whole} or {@link
   *     StreamEvent.Broken}
   */
  record Stream(Flux<StreamEvent> events) implements Reply {}

  /** One event of a streamed answer. */
  sealed interface StreamEvent {

    /**
     * A part of the answer.
     *
     * @param body JSON text
     */
    record Data(String body) implements StreamEvent {}

    /** Says that the answer is whole. */
    record Complete() implements StreamEvent {}

    /**
     * Says that no more of the answer will come.
     *
     * @param refusal why
     */
    record Failed(Refusal refusal) implements StreamEvent {}
  }

  /**
   * An error, as RFC 9457 problem JSON.
   *
   * @param refusal what went wrong
   */
  record Problem(Refusal refusal) implements Reply {}
}
