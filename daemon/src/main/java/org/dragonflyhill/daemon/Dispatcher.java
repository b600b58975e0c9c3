package org.dragonflyhill.daemon;

import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import reactor.core.publisher.Mono;

/**
 * The end of the filter chain: passes each request to the handler for its kind.
 *
 * <p>Thread-safe.
 */
public final class Dispatcher implements RequestFilter.Handler {

  private final CompletionHandler completions;
  private final ServiceHandler services;

  /** Creates a dispatcher. */
  public Dispatcher(CompletionHandler completions, ServiceHandler services) {
    this.completions = completions;
    this.services = services;
  }

  @Override
  public Mono<Reply> handle(RequestContext context) {
    return switch (context.call()) {
      case Call.Completion completion -> completions.handle(context, completion);
      case Call.ServiceCall call -> services.handle(context, call);
      case Call.OutcomeQuery query ->
          Mono.just(new Reply.Problem(Refusal.notRun(RefusalReason.NOT_FOUND, "no such request")));
    };
  }
}
