package org.dragonflyhill.daemon;

import org.dragonflyhill.core.ConfigurationObject.Model;
import org.dragonflyhill.core.ObjectKind;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import reactor.core.publisher.Mono;

/** Serves completions, each by a run of its own. Thread-safe; nothing is null. */
public final class CompletionHandler {

  private final ConfigurationController configuration;
  private final CompletionServices services;
  private final CompletionRelay relay;

  /** Creates a handler. */
  CompletionHandler(
      ConfigurationController configuration, CompletionServices services, CompletionRelay relay) {
    this.configuration = configuration;
    this.services = services;
    this.relay = relay;
    AttemptFailure.CODES.forEach(code -> services.metrics().count("retried." + code, 0));
    services.metrics().count("retried.hedge", 0);
  }

  /** Serves a completion. */
  public Mono<Reply> handle(RequestContext context, Call.Completion call) {
    return configuration
        .find(ObjectKind.MODEL, call.model(), Model.class)
        .map(model -> new CompletionRun(services, context, call, model))
        .map(run -> relay.reply(context, call, run.events()))
        .orElseGet(
            () ->
                Mono.just(
                    new Reply.Problem(Refusal.notRun(RefusalReason.NOT_FOUND, "no such model"))));
  }
}
