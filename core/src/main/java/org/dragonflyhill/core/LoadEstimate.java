package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates how long a new request would wait at a runner.
 *
 * <p>The runner's load reports arrive with a delay, so the estimate starts from the last report and
 * corrects it. It adds the requests that this node sent since, multiplied by the number of nodes
 * that send about as much, and subtracts the work that the runner is expected to have completed in
 * the meantime.
 *
 * <pre>{@code
 * LoadEstimate load = new LoadEstimate(new LoadEstimate.Capacity(48, 6, 10_000, 4));
 * load.update(new LoadEstimate.Report(31, 0, 12_000, reportedAt));
 * load.recordSent(2_500, false, sentAt);
 * Duration wait = load.queueWait(false, Duration.ofSeconds(4), now);
 * }</pre>
 *
 * <p>Not thread-safe; callers must synchronize access. Arguments must not be null.
 */
public final class LoadEstimate {

  private static final int MAX_SENT_REQUESTS = 1_024;

  private final Capacity capacity;
  private final Deque<SentRequest> sentRequests = new ArrayDeque<>();
  private Report report = new Report(0, 0, 0, Instant.EPOCH);

  /** Creates an estimate that takes the runner to be idle until the first report. */
  public LoadEstimate(Capacity capacity) {
    this.capacity = capacity;
  }

  /** Replaces the last report, unless the new one is older. */
  public void update(Report newReport) {
    if (newReport.reportedAt().isBefore(report.reportedAt())) {
      return;
    }
    report = newReport;
    while (!sentRequests.isEmpty()
        && !sentRequests.peekFirst().sentAt().isAfter(newReport.reportedAt())) {
      sentRequests.removeFirst();
    }
  }

  /** Records a request that this node sent, with the prompt tokens that the runner must compute. */
  public void recordSent(long computeTokens, boolean isUrgent, Instant sentAt) {
    sentRequests.addLast(new SentRequest(computeTokens, isUrgent, sentAt));
    if (sentRequests.size() > MAX_SENT_REQUESTS) {
      sentRequests.removeFirst();
    }
  }

  /**
   * Returns the expected wait of a request that is sent now.
   *
   * @param isUrgent whether the request is served before ordinary ones
   * @param slotTime mean time for which a request occupies a slot
   * @param now the current time
   */
  public Duration queueWait(boolean isUrgent, Duration slotTime, Instant now) {
    double seconds = prefillWaitSeconds(isUrgent, now) + slotWaitSeconds(isUrgent, slotTime, now);
    return Duration.ofNanos((long) (seconds * 1e9));
  }

  private double prefillWaitSeconds(boolean isUrgent, Instant now) {
    double tokens = isUrgent ? 0 : report.queuedTokens();
    Instant countedAt = report.reportedAt();
    for (SentRequest request : sentRequests) {
      if (!isUrgent || request.isUrgent()) {
        tokens =
            remainingTokens(tokens, countedAt, request.sentAt())
                + (double) request.computeTokens() * capacity.sendingNodes();
        countedAt = request.sentAt();
      }
    }
    return remainingTokens(tokens, countedAt, now) / capacity.prefillTokensPerSecond();
  }

  private double remainingTokens(double tokens, Instant from, Instant to) {
    double seconds = Duration.between(from, to).toNanos() / 1e9;
    return Math.max(0, tokens - seconds * capacity.prefillTokensPerSecond());
  }

  private double slotWaitSeconds(boolean isUrgent, Duration slotTime, Instant now) {
    double slotSeconds = slotTime.toNanos() / 1e9;
    double ageSeconds = Duration.between(report.reportedAt(), now).toNanos() / 1e9;
    double freedSlots = ageSeconds * capacity.slots() / slotSeconds;
    int ordinarySlots = capacity.slots() - capacity.reservedSlots();
    double urgentSent = sentSinceReport(true);
    double ordinarySent = sentSinceReport(false);
    double takenSlots = report.running() + urgentSent;
    if (isUrgent) {
      // Ordinary requests that found no free slot wait behind urgent ones.
      takenSlots += Math.min(ordinarySent, Math.max(0, ordinarySlots - report.running()));
    } else {
      takenSlots += report.queued() + ordinarySent;
    }
    int usableSlots = isUrgent ? capacity.slots() : ordinarySlots;
    double slotsToWaitFor = Math.max(0, takenSlots - freedSlots + 1 - usableSlots);
    return slotsToWaitFor * slotSeconds / capacity.slots();
  }

  private double sentSinceReport(boolean isUrgent) {
    long sent = sentRequests.stream().filter(request -> request.isUrgent() == isUrgent).count();
    return (double) sent * capacity.sendingNodes();
  }

  /**
   * Capacity of a runner and the number of nodes that share it.
   *
   * @param slots number of requests that the runner runs concurrently
   * @param reservedSlots number of these slots that are reserved for urgent requests
   * @param prefillTokensPerSecond prompt tokens that the runner computes per second
   * @param sendingNodes number of nodes, including this one, that send it about as much work
   */
  public record Capacity(
      int slots, int reservedSlots, long prefillTokensPerSecond, int sendingNodes) {}

  /**
   * A load report of a runner.
   *
   * @param running number of requests that occupy a slot
   * @param queued number of requests that wait for a slot
   * @param queuedTokens number of prompt tokens that are not computed yet
   * @param reportedAt time of the report
   */
  public record Report(int running, int queued, long queuedTokens, Instant reportedAt) {}

  private record SentRequest(long computeTokens, boolean isUrgent, Instant sentAt) {}
}
