package org.dragonflyhill.daemon;

import java.time.Duration;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.dragonflyhill.core.Admission;
import org.dragonflyhill.core.ConfigurationObject.Organisation;
import org.dragonflyhill.core.ConfigurationObject.Urgency;
import org.dragonflyhill.core.PieceKeys;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import reactor.core.publisher.Mono;

/**
 * Lets completions through in a fair order and refuses early what could not be served in time.
 *
 * <p>Thread-safe; nothing is null.
 */
public final class AdmissionFilter implements RequestFilter {

  /** Sizes of a node's queue. */
  public static final Admission.Limits LIMITS = new Admission.Limits(4_000, 0.1);

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final AdmissionController admission;
  private final DrainController drain;
  private final Predicate<String> isModel;
  private final IntSupplier liveNodes;

  /**
   * Creates a filter.
   *
   * @param admission decides
   * @param drain tells the end of each request
   * @param isModel tells whether a model exists; others pass, to be told that they don't
   * @param liveNodes number of nodes that share the organisations' limits
   */
  public AdmissionFilter(
      AdmissionController admission,
      DrainController drain,
      Predicate<String> isModel,
      IntSupplier liveNodes) {
    this.admission = admission;
    this.drain = drain;
    this.isModel = isModel;
    this.liveNodes = liveNodes;
  }

  @Override
  public Mono<Reply> handle(RequestContext context, Handler next) {
    if (drain.isRefusing()) {
      return problemReply(
          Refusal.notRun(RefusalReason.STOPPING, "this node is stopping")
              .withRetryAfter(RETRY_AFTER));
    }
    return context.call() instanceof Call.Completion call && isModel.test(call.model())
        ? admit(context, call, next)
        : next.handle(context);
  }

  private Mono<Reply> admit(RequestContext context, Call.Completion call, Handler next) {
    Runnable release = () -> admission.release(context.requestId(), call.model());
    return admission
        .admit(admissionRequest(context, call))
        .doOnSubscribe(subscription -> drain.onEnd(context.requestId(), release))
        .flatMap(refusal -> refusal.isEmpty() ? next.handle(context) : problemReply(refusal.get()))
        .map(reply -> releaseAtEnd(reply, release));
  }

  /** Frees the slot when the work ends, since a slow caller may take long to read the rest. */
  private static Reply releaseAtEnd(Reply reply, Runnable release) {
    if (reply instanceof Reply.Stream stream) {
      return new Reply.Stream(stream.events().doFinally(signal -> release.run()));
    }
    release.run();
    return reply;
  }

  private Admission.Request admissionRequest(RequestContext context, Call.Completion call) {
    Organisation organisation = context.requiredOrganisation();
    RequestContext.Classification treatment = context.requiredClassification();
    int nodes = Math.max(1, liveNodes.getAsInt());
    return new Admission.Request(
        context.requestId(),
        call.model(),
        organisation.name(),
        organisation.share(),
        Math.max(1, organisation.tokensPerMinute() / nodes),
        PieceKeys.estimateTokens(call.prompt()) + call.maxTokens(),
        treatment.urgency() == Urgency.URGENT,
        treatment.deadline());
  }

  private static Mono<Reply> problemReply(Refusal refusal) {
    return Mono.just(new Reply.Problem(refusal));
  }
}
