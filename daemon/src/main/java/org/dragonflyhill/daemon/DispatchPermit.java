package org.dragonflyhill.daemon;

import reactor.util.context.ContextView;

/**
 * Says right before the first byte to an endpoint whether a request may still be sent. The claim
 * filter puts it into the Reactor context of non-repeatable requests. Thread-safe.
 */
@FunctionalInterface
interface DispatchPermit {

  /** Permit of repeatable requests. */
  DispatchPermit ALWAYS = () -> true;

  /** Returns whether the request may still be sent. */
  boolean mayDispatch();

  /** Returns the permit of a request. */
  static DispatchPermit of(ContextView context) {
    return context.getOrDefault(DispatchPermit.class, ALWAYS);
  }
}
