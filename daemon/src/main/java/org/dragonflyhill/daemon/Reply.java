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
   * Server-sent events; an error of the flux cuts the connection without the final event.
   *
   * @param events the data of each event
   */
  record Stream(Flux<String> events) implements Reply {}

  /**
   * An error, as RFC 9457 problem JSON.
   *
   * @param refusal what went wrong
   */
  record Problem(Refusal refusal) implements Reply {}
}
