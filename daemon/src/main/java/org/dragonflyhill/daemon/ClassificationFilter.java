package org.dragonflyhill.daemon;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.dragonflyhill.core.ConfigurationObject.Operation;
import org.dragonflyhill.core.ConfigurationObject.Rule;
import org.dragonflyhill.core.ConfigurationObject.Service;
import org.dragonflyhill.core.ConfigurationObject.Urgency;
import org.dragonflyhill.core.ObjectKind;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import reactor.core.publisher.Mono;

/**
 * Classifies a request: determines its urgency, cost weights and deadline and whether it may run
 * more than once, from its headers, the rule of its task and the operation that it calls.
 *
 * <p>Thread-safe; nothing is null.
 */
public final class ClassificationFilter implements RequestFilter {

  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(60);
  private static final String DEFAULT_TASK = "default";

  private final ConfigurationController configuration;
  private final InstantSource clock;

  /** Creates a filter that applies the rules of the current configuration. */
  public ClassificationFilter(ConfigurationController configuration, InstantSource clock) {
    this.configuration = configuration;
    this.clock = clock;
  }

  @Override
  public Mono<Reply> handle(RequestContext context, Handler next) {
    return classify(context)
        .fold(
            refusal -> Mono.just((Reply) new Reply.Problem(refusal)),
            classification -> next.handle(context.withClassification(classification)));
  }

  private Either<Refusal, RequestContext.Classification> classify(RequestContext context) {
    String task = context.headers().task().orElse(DEFAULT_TASK);
    Optional<Rule> rule = configuration.view().ruleOf(task);
    if (rule.isEmpty() && context.headers().task().isPresent()) {
      return Either.left(
          Refusal.notRun(
              RefusalReason.BAD_REQUEST, HttpFrontend.TASK_HEADER + ": no rule for this task"));
    }
    Instant deadline = deadline(context, rule);
    if (!clock.instant().isBefore(deadline)) {
      return Either.left(
          Refusal.notRun(
              RefusalReason.DEADLINE_PASSED, "the deadline had passed when the request arrived"));
    }
    return isRepeatable(context.call())
        .map(
            repeatable ->
                new RequestContext.Classification(
                    task,
                    rule.map(Rule::urgency).orElse(Urgency.ORDINARY),
                    repeatable && rule.map(Rule::repeatable).orElse(true),
                    rule.map(Rule::firstTokenWeight).orElse(1.0),
                    rule.map(Rule::recomputeWeight).orElse(1.0),
                    deadline));
  }

  private static Instant deadline(RequestContext context, Optional<Rule> rule) {
    long millis =
        context
            .headers()
            .deadlineMillis()
            .or(() -> rule.map(Rule::deadlineMillis))
            .orElse(DEFAULT_DEADLINE.toMillis());
    return context.receivedAt().plusMillis(millis);
  }

  private Either<Refusal, Boolean> isRepeatable(Call call) {
    return switch (call) {
      case Call.Completion completion -> Either.right(true);
      case Call.OutcomeQuery query -> Either.right(true);
      case Call.ServiceCall service -> operation(service).map(Operation::repeatable);
    };
  }

  private Either<Refusal, Operation> operation(Call.ServiceCall call) {
    return configuration
        .find(ObjectKind.SERVICE, call.service(), Service.class)
        .flatMap(service -> service.operation(call.operation()))
        .map(Either::<Refusal, Operation>right)
        .orElseGet(
            () ->
                Either.left(
                    Refusal.notRun(
                        RefusalReason.NOT_FOUND,
                        "no such operation: " + call.service() + "/" + call.operation())));
  }
}
