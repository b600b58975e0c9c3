package org.dragonflyhill.daemon;

import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import reactor.core.publisher.Mono;

/** Refuses early what could not be served in time. Thread-safe; nothing is null. */
public final class AdmissionFilter implements RequestFilter {

  /** Most requests that a node runs at once. */
  static final int MAX_RUNNING = 20_000;

  private static final java.time.Duration RETRY_AFTER = java.time.Duration.ofSeconds(1);

  private final DrainController drain;

  /** Creates a filter. */
  public AdmissionFilter(DrainController drain) {
    this.drain = drain;
  }

  @Override
  public Mono<Reply> handle(RequestContext context, Handler next) {
    if (drain.runningRequests() > MAX_RUNNING) {
      return Mono.just(
          new Reply.Problem(
              Refusal.notRun(RefusalReason.QUEUE_FULL, "too many requests run on this node")
                  .withRetryAfter(RETRY_AFTER)));
    }
    return next.handle(context);
  }
}
