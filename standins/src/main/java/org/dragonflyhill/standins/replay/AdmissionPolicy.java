package org.dragonflyhill.standins.replay;

import java.util.Optional;
import org.dragonflyhill.core.RefusalReason;

/** When a node refuses a request before sending it. Variants are stateless. */
public sealed interface AdmissionPolicy {

  /** Returns why a request is refused, or empty where it is to be sent. */
  Optional<RefusalReason> refusal(
      TraceRequest request, Route route, OrganisationUse use, long nowMicros);

  /** Refuses nothing; the runners' bounded queues do. */
  record RunnerQueueOnly() implements AdmissionPolicy {
    @Override
    public Optional<RefusalReason> refusal(
        TraceRequest request, Route route, OrganisationUse use, long nowMicros) {
      return Optional.empty();
    }
  }

  /**
   * Refuses ordinary work whose wait would be long, that of organisations beyond their share first.
   */
  record EarlyRefusal() implements AdmissionPolicy {
    private static final double ORDINARY_LIMIT_SECONDS = 3;
    private static final double URGENT_LIMIT_SECONDS = 1.5;
    private static final double PRESSURE_SECONDS = 1;

    @Override
    public Optional<RefusalReason> refusal(
        TraceRequest request, Route route, OrganisationUse use, long nowMicros) {
      double wait = route.waitSeconds();
      double limit = request.urgent() ? URGENT_LIMIT_SECONDS : ORDINARY_LIMIT_SECONDS;
      if (wait > limit) {
        return Optional.of(RefusalReason.DEADLINE_UNREACHABLE);
      }
      if (!request.urgent() && wait > PRESSURE_SECONDS) {
        double excess = use.partOfFairShare(request.organisation(), nowMicros);
        double room = (limit - wait) / (limit - PRESSURE_SECONDS);
        return excess > 1 + room ? Optional.of(RefusalReason.ORGANISATION_LIMIT) : Optional.empty();
      }
      return Optional.empty();
    }
  }
}
