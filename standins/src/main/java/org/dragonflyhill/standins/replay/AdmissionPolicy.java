package org.dragonflyhill.standins.replay;

import java.time.Duration;
import java.util.Optional;
import org.dragonflyhill.core.RefusalReason;

/** Decides whether a node refuses a request before sending it. Implementations are stateless. */
public sealed interface AdmissionPolicy {

  /** Returns the reason to refuse a request, or empty if the node is to send it. */
  Optional<RefusalReason> refusal(
      TraceRequest request, Route route, OrganisationUsage usage, long nowMicros);

  /** Never refuses; only the bounded queue of a runner does. */
  record RunnerQueueOnly() implements AdmissionPolicy {
    @Override
    public Optional<RefusalReason> refusal(
        TraceRequest request, Route route, OrganisationUsage usage, long nowMicros) {
      return Optional.empty();
    }
  }

  /**
   * Refuses a request whose expected wait exceeds a limit. Ordinary requests are also refused from
   * half of the limit on, if their organisation uses more than its fair share: the permitted usage
   * falls from twice the fair share at half of the limit to the fair share at the limit.
   *
   * @param ordinaryWaitLimit longest expected wait of an ordinary request
   */
  record EarlyRefusal(Duration ordinaryWaitLimit) implements AdmissionPolicy {
    private static final double URGENT_WAIT_LIMIT_SECONDS = 1.5;
    private static final double FAIR_SHARE_WAIT_FRACTION = 0.5;

    @Override
    public Optional<RefusalReason> refusal(
        TraceRequest request, Route route, OrganisationUsage usage, long nowMicros) {
      double wait = route.waitSeconds();
      double ordinaryLimit = ordinaryWaitLimit.toNanos() / 1e9;
      double limit = request.urgent() ? URGENT_WAIT_LIMIT_SECONDS : ordinaryLimit;
      if (wait > limit) {
        return Optional.of(RefusalReason.DEADLINE_UNREACHABLE);
      }
      double fairShareThreshold = ordinaryLimit * FAIR_SHARE_WAIT_FRACTION;
      if (!request.urgent() && wait > fairShareThreshold) {
        double relativeUsage = usage.relativeUsage(request.organisation(), nowMicros);
        double headroom = (limit - wait) / (limit - fairShareThreshold);
        return relativeUsage > 1 + headroom
            ? Optional.of(RefusalReason.ORGANISATION_LIMIT)
            : Optional.empty();
      }
      return Optional.empty();
    }
  }
}
