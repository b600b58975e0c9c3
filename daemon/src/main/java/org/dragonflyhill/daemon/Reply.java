package org.dragonflyhill.daemon;

import org.dragonflyhill.core.Refusal;
import reactor.core.publisher.Flux;

/** Reply to a caller. All variants are immutable and thread-safe; no component is null. */
public sealed interface Reply {

  /**
   * A complete JSON response.
   *
   * @param status HTTP status code
   * @param body JSON text
   */
  record Json(int status, String body) implements Reply {}

  /**
   * A stream of server-sent events, each of which is written when it arrives. If the first event is
   * an error, nothing has been written yet and the caller gets a {@link Problem} instead.
   *
   * @param events the events; the last one is {@link StreamEvent.Complete} or {@link
   *     StreamEvent.Failed}
   */
  record Stream(Flux<StreamEvent> events) implements Reply {}

  /** One event of a streamed response. */
  sealed interface StreamEvent {

    /**
     * A part of the response.
     *
     * @param body JSON text
     */
    record Data(String body) implements StreamEvent {}

    /** Ends a complete response. */
    record Complete() implements StreamEvent {}

    /**
     * Ends an incomplete response.
     *
     * @param refusal why the rest of the response is missing
     */
    record Failed(Refusal refusal) implements StreamEvent {}
  }

  /**
   * An error, sent as problem JSON (RFC 9457).
   *
   * @param refusal what went wrong
   */
  record Problem(Refusal refusal) implements Reply {}
}
