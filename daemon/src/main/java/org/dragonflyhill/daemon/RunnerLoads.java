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
 * Estimates the wait at each runner from its load reports and from what this node sent since.
 *
 * <p>Thread-safe; no argument may be null.
 */
final class RunnerLoads {

  /** Mean time for which a request holds a slot, before the first one ended. */
  static final Duration FIRST_SLOT_TIME = Duration.ofSeconds(2);

  /** Share of a new observation in the mean slot time. */
  private static final double SLOT_TIME_GAIN = 0.05;

  private final EndpointController endpoints;
  private final IntSupplier senders;
  private final Map<String, Tracked> tracked = new HashMap<>();
  private double slotSeconds = FIRST_SLOT_TIME.toMillis() / 1e3;

  /**
   * Creates estimates of idle runners.
   *
   * @param endpoints knows the load reports
   * @param senders number of nodes that send alike, this one included
   */
  RunnerLoads(EndpointController endpoints, IntSupplier senders) {
    this.endpoints = endpoints;
    this.senders = senders;
  }

  /** Returns the expected wait of a request that is sent to a runner now. */
  synchronized Duration queueWait(Runner runner, Model model, boolean isUrgent, Instant now) {
    Duration slotTime = Duration.ofNanos((long) (slotSeconds * 1e9));
    return estimate(runner, model).queueWait(isUrgent, slotTime, now);
  }

  /** Notes a request that was placed on a runner. */
  synchronized void sent(
      Runner runner, Model model, long computeTokens, boolean isUrgent, Instant now) {
    estimate(runner, model).recordSent(computeTokens, isUrgent, now);
  }

  /** Notes for how long a request that ended held its slot. */
  synchronized void ended(Duration slotTime) {
    slotSeconds += SLOT_TIME_GAIN * (slotTime.toMillis() / 1e3 - slotSeconds);
  }

  private LoadEstimate estimate(Runner runner, Model model) {
    var speed =
        new LoadEstimate.Capacity(
            runner.slots(),
            reservedSlots(runner),
            model.prefillTokensPerSecond(),
            senders.getAsInt());
    Tracked known = tracked.get(runner.name());
    if (known == null || !known.speed.equals(speed)) {
      known = new Tracked(speed, new LoadEstimate(speed));
      tracked.put(runner.name(), known);
    }
    LoadEstimate estimate = known.estimate;
    endpoints.report(runner.name()).ifPresent(report -> estimate.update(report(report)));
    return estimate;
  }

  /** The share that admission keeps for urgent work is kept on each runner too. */
  private static int reservedSlots(Runner runner) {
    return (int) (runner.slots() * AdmissionFilter.LIMITS.urgentReserve());
  }

  private static LoadEstimate.Report report(EndpointController.LoadReport report) {
    RunnerPort.Load load = report.load();
    return new LoadEstimate.Report(
        load.running(), load.queued(), load.queuedTokens(), report.receivedAt());
  }

  private record Tracked(LoadEstimate.Capacity speed, LoadEstimate estimate) {}
}
