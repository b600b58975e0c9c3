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
 * Queues completions, admits them in a fair order, and refuses early those that could not be served
 * in time.
 *
 * <p>Thread-safe. Arguments and return values are never null.
 */
public final class AdmissionFilter implements RequestFilter {

  /** Limits of the admission control of a node. */
  public static final Admission.Limits LIMITS = new Admission.Limits(4_000, 0.1);

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final AdmissionController admission;
  private final DrainController drain;
  private final Predicate<String> isModel;
  private final IntSupplier liveNodes;

  /**
   * Creates a filter.
   *
   * @param admission queues and admits the requests
   * @param drain reports the end of each request
   * @param isModel returns whether a model exists; requests for unknown models skip the queue and
   *     are refused by the completion handler
   * @param liveNodes number of live nodes, between which the organisations' rate limits are divided
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

  /**
   * Releases the slot when the work ends and not when the request does, because a slow caller may
   * take long to read the rest of the response.
   */
  private static Reply releaseAtEnd(Reply reply, Runnable release) {
    if (reply instanceof Reply.Stream stream) {
      return new Reply.Stream(stream.events().doFinally(signal -> release.run()));
    }
    release.run();
    return reply;
  }

  private Admission.Request admissionRequest(RequestContext context, Call.Completion call) {
    Organisation organisation = context.requiredOrganisation();
    RequestContext.Classification classification = context.requiredClassification();
    int nodes = Math.max(1, liveNodes.getAsInt());
    return new Admission.Request(
        context.requestId(),
        call.model(),
        organisation.name(),
        organisation.share(),
        Math.max(1, organisation.tokensPerMinute() / nodes),
        PieceKeys.estimateTokens(call.prompt()) + call.maxTokens(),
        classification.urgency() == Urgency.URGENT,
        classification.deadline());
  }

  private static Mono<Reply> problemReply(Refusal refusal) {
    return Mono.just(new Reply.Problem(refusal));
  }
}
