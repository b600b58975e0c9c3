package org.dragonflyhill.daemon;

import java.util.List;
import reactor.core.publisher.Mono;

/**
 * A filter in the handling of requests, which passes a request on or replies to it. Thread-safe.
 */
public interface RequestFilter {

  /**
   * Passes a request to the next handler, or replies to it.
   *
   * @param context the request
   * @param next handler that runs the rest of the chain
   */
  Mono<Reply> handle(RequestContext context, Handler next);

  /** Returns a handler that runs the filters in order and then the last handler. */
  static Handler chain(List<RequestFilter> filters, Handler last) {
    Handler chain = last;
    for (RequestFilter filter : filters.reversed()) {
      Handler next = chain;
      chain = context -> filter.handle(context, next);
    }
    return chain;
  }

  /** Handles requests. Thread-safe. */
  interface Handler {

    /** Handles a request and returns the reply. */
    Mono<Reply> handle(RequestContext context);
  }
}
