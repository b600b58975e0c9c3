package org.dragonflyhill.daemon;

import reactor.core.publisher.Mono;

/** Records each classified request and its outcome. Thread-safe; nothing is null. */
public final class DecisionJournalFilter implements RequestFilter {

  private final DecisionJournal journal;

  /** Creates a filter that records requests in a journal. */
  public DecisionJournalFilter(DecisionJournal journal) {
    this.journal = journal;
  }

  @Override
  public Mono<Reply> handle(RequestContext context, Handler next) {
    journal.recordReceived(context);
    return next.handle(context)
        .doOnNext(reply -> journal.recordOutcome(context.requestId(), outcome(reply)));
  }

  private static String outcome(Reply reply) {
    return switch (reply) {
      case Reply.Json json -> "answered";
      case Reply.Stream stream -> "streamed";
      case Reply.Problem problem -> problem.refusal().reason().code();
    };
  }
}
