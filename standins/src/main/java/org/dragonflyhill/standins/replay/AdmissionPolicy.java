package org.dragonflyhill.standins.replay;

import java.time.Duration;
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
   *
   * @param ordinaryLimit longest expected wait of ordinary work
   */
  record EarlyRefusal(Duration ordinaryLimit) implements AdmissionPolicy {
    private static final double URGENT_LIMIT_SECONDS = 1.5;
    private static final double PRESSURE_PART = 0.5;

    @Override
    public Optional<RefusalReason> refusal(
        TraceRequest request, Route route, OrganisationUse use, long nowMicros) {
      double wait = route.waitSeconds();
      double ordinary = ordinaryLimit.toNanos() / 1e9;
      double limit = request.urgent() ? URGENT_LIMIT_SECONDS : ordinary;
      if (wait > limit) {
        return Optional.of(RefusalReason.DEADLINE_UNREACHABLE);
      }
      double pressure = ordinary * PRESSURE_PART;
      if (!request.urgent() && wait > pressure) {
        double excess = use.partOfFairShare(request.organisation(), nowMicros);
        double room = (limit - wait) / (limit - pressure);
        return excess > 1 + room ? Optional.of(RefusalReason.ORGANISATION_LIMIT) : Optional.empty();
      }
      return Optional.empty();
    }
  }
}
