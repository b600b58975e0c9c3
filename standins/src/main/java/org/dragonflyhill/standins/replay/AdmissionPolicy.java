package org.dragonflyhill.standins.replay;

import java.time.Duration;
import java.util.Optional;
import org.dragonflyhill.core.RefusalReason;

/** When a node refuses a request before sending it. Variants are stateless. */
public sealed interface AdmissionPolicy {

  /** Returns why a request is refused, or empty where it is to be sent. */
  Optional<RefusalReason> refusal(
      TraceRequest request, Route route, OrganisationUsage usage, long nowMicros);

  /** Refuses nothing; the runners' bounded queues do. */
  record RunnerQueueOnly() implements AdmissionPolicy {
    @Override
    public Optional<RefusalReason> refusal(
        TraceRequest request, Route route, OrganisationUsage usage, long nowMicros) {
      return Optional.empty();
    }
  }

  /**
   * Refuses ordinary work whose wait would be long, that of organisations beyond their share first.
   *
   * @param ordinaryWaitLimit longest expected wait of ordinary work
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
