package org.dragonflyhill.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.dragonflyhill.core.ConfigurationObject.Model;
import org.dragonflyhill.core.ConfigurationObject.Runner;
import org.dragonflyhill.core.LoadEstimate;
import org.dragonflyhill.ports.RunnerPort;

/**
 * Estimates the queue wait at each runner from its last load report and the requests that this node
 * has sent since then.
 *
 * <p>Thread-safe. Arguments must not be null.
 */
final class QueueWaitEstimator {

  /** Initial value of the mean time for which a request holds a slot. */
  static final Duration INITIAL_SLOT_TIME = Duration.ofSeconds(2);

  /** Weight of a new observation in the moving average of the slot time. */
  private static final double SLOT_TIME_SMOOTHING = 0.05;

  private final EndpointController endpoints;
  private final IntSupplier liveNodes;
  private final Map<String, TrackedRunner> trackedRunners = new HashMap<>();
  private double meanSlotSeconds = INITIAL_SLOT_TIME.toMillis() / 1e3;

  /**
   * Creates an estimator that assumes idle runners until loads are reported or requests are sent.
   *
   * @param endpoints source of the load reports
   * @param liveNodes number of nodes that send to the runners, including this one; the estimate
   *     assumes that each sends at the same rate
   */
  QueueWaitEstimator(EndpointController endpoints, IntSupplier liveNodes) {
    this.endpoints = endpoints;
    this.liveNodes = liveNodes;
  }

  /** Returns the expected queue wait of a request that is sent to a runner now. */
  synchronized Duration queueWait(Runner runner, Model model, boolean isUrgent, Instant now) {
    Duration slotTime = Duration.ofNanos((long) (meanSlotSeconds * 1e9));
    return estimate(runner, model).queueWait(isUrgent, slotTime, now);
  }

  /** Records that a request was placed on a runner. */
  synchronized void recordSent(
      Runner runner, Model model, long computeTokens, boolean isUrgent, Instant now) {
    estimate(runner, model).recordSent(computeTokens, isUrgent, now);
  }

  /** Records for how long a completed request held its slot. */
  synchronized void recordSlotTime(Duration slotTime) {
    meanSlotSeconds += SLOT_TIME_SMOOTHING * (slotTime.toMillis() / 1e3 - meanSlotSeconds);
  }

  private LoadEstimate estimate(Runner runner, Model model) {
    var capacity =
        new LoadEstimate.Capacity(
            runner.slots(),
            reservedSlots(runner),
            model.prefillTokensPerSecond(),
            liveNodes.getAsInt());
    TrackedRunner known = trackedRunners.get(runner.name());
    if (known == null || !known.capacity.equals(capacity)) {
      known = new TrackedRunner(capacity, new LoadEstimate(capacity));
      trackedRunners.put(runner.name(), known);
    }
    LoadEstimate estimate = known.estimate;
    endpoints.loadReport(runner.name()).ifPresent(report -> estimate.update(report(report)));
    return estimate;
  }

  /** Returns the slots of a runner that are reserved for urgent requests, as in the admission. */
  private static int reservedSlots(Runner runner) {
    return (int) (runner.slots() * AdmissionFilter.LIMITS.urgentReserve());
  }

  private static LoadEstimate.Report report(EndpointController.LoadReport report) {
    RunnerPort.Load load = report.load();
    return new LoadEstimate.Report(
        load.running(), load.queued(), load.queuedTokens(), report.receivedAt());
  }

  private record TrackedRunner(LoadEstimate.Capacity capacity, LoadEstimate estimate) {}
}
