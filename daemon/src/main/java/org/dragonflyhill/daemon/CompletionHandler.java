package org.dragonflyhill.daemon;

import org.dragonflyhill.core.ConfigurationObject.Model;
import org.dragonflyhill.core.ObjectKind;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import reactor.core.publisher.Mono;

/**
 * Serves completions, each with its own {@link CompletionRun}.
 *
 * <p>Thread-safe. Arguments and return values are never null.
 */
public final class CompletionHandler {

  private final ConfigurationController configuration;
  private final CompletionDependencies dependencies;
  private final CompletionReplies replies;

  /** Creates a handler. */
  CompletionHandler(
      ConfigurationController configuration,
      CompletionDependencies dependencies,
      CompletionReplies replies) {
    this.configuration = configuration;
    this.dependencies = dependencies;
    this.replies = replies;
    AttemptFailure.CODES.forEach(code -> dependencies.metrics().count("retried." + code, 0));
    dependencies.metrics().count("retried.hedge", 0);
  }

  /** Serves a completion. */
  public Mono<Reply> handle(RequestContext context, Call.Completion call) {
    return configuration
        .find(ObjectKind.MODEL, call.model(), Model.class)
        .map(model -> new CompletionRun(dependencies, context, call, model))
        .map(run -> replies.reply(context, call, run.events()))
        .orElseGet(
            () ->
                Mono.just(
                    new Reply.Problem(Refusal.notRun(RefusalReason.NOT_FOUND, "no such model"))));
  }
}
