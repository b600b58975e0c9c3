package org.dragonflyhill.daemon;

import reactor.util.context.ContextView;

/**
 * Decides, immediately before the first byte is sent to an endpoint, whether a request may still be
 * sent. {@link ClaimRunner} puts a permit into the Reactor context of each non-repeatable request.
 *
 * <p>Thread-safe.
 */
@FunctionalInterface
interface DispatchPermit {

  /** The permit of requests without a permit in their context: they may always be sent. */
  DispatchPermit ALWAYS = () -> true;

  /** Returns whether the request may still be sent. */
  boolean mayDispatch();

  /** Returns the permit in a Reactor context, or {@link #ALWAYS} if there is none. */
  static DispatchPermit of(ContextView context) {
    return context.getOrDefault(DispatchPermit.class, ALWAYS);
  }
}
