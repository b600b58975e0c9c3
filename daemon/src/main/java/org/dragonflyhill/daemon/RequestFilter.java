package org.dragonflyhill.daemon;

import java.util.List;
import reactor.core.publisher.Mono;

/** One step on a request's way; passes it on or answers by itself. Thread-safe. */
public interface RequestFilter {

  /**
   * Handles a request.
   *
   * @param context the request
   * @param next the rest of the chain
   */
  Mono<Reply> handle(RequestContext context, Handler next);

  /** Joins filters in front of a last handler. */
  static Handler chain(List<RequestFilter> filters, Handler last) {
    Handler chain = last;
    for (RequestFilter filter : filters.reversed()) {
      Handler next = chain;
      chain = context -> filter.handle(context, next);
    }
    return chain;
  }

  /** Answers a request. Thread-safe. */
  interface Handler {

    /** Answers a request. */
    Mono<Reply> handle(RequestContext context);
  }
}
