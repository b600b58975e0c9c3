package org.dragonflyhill.core;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates how long a runner lets a request wait, from its late load reports and from what this
 * node sent it since.
 *
 * <p>A report tells the prompt tokens that the runner had still to compute and how many of its
 * slots were taken. What this node sent later is added, once for each node that sends alike, and
 * what the runner did in the meantime is taken off.
 *
 * <pre>{@code
 * LoadEstimate load = new LoadEstimate(new LoadEstimate.Speed(48, 6, 10_000, 4));
 * load.report(new LoadEstimate.Report(31, 0, 12_000, reportedAt));
 * load.sent(2_500, false, sentAt);
 * Duration wait = load.queueWait(false, Duration.ofSeconds(4), now);
 * }</pre>
 *
 * <p>Not thread-safe; its owner guards it. No argument may be null.
 */
public final class LoadEstimate {

  private static final int MAX_SENT_REQUESTS = 1_024;

  private final Capacity capacity;
  private final Deque<SentRequest> sentRequests = new ArrayDeque<>();
  private Report report = new Report(0, 0, 0, Instant.EPOCH);

  /** Creates an estimate of an idle runner. */
  public LoadEstimate(Capacity capacity) {
    this.capacity = capacity;
  }

  /** Takes a report, unless a later one was taken before. */
  public void update(Report newReport) {
    if (newReport.at().isBefore(report.at())) {
      return;
    }
    report = newReport;
    while (!sentRequests.isEmpty() && !sentRequests.peekFirst().at().isAfter(newReport.at())) {
      sentRequests.removeFirst();
    }
  }

  /** Notes that this node sent a request with so many prompt tokens to compute. */
  public void recordSent(long computeTokens, boolean isUrgent, Instant sentAt) {
    sentRequests.addLast(new SentRequest(computeTokens, isUrgent, sentAt));
    if (sentRequests.size() > MAX_SENT_REQUESTS) {
      sentRequests.removeFirst();
    }
  }

  /**
   * Returns the expected wait of a request that is sent now.
   *
   * @param isUrgent whether it goes ahead of other work
   * @param slotTime mean time for which a request holds a slot
   * @param now present time
   */
  public Duration queueWait(boolean isUrgent, Duration slotTime, Instant now) {
    double seconds = prefillWaitSeconds(isUrgent, now) + slotWaitSeconds(isUrgent, slotTime, now);
    return Duration.ofNanos((long) (seconds * 1e9));
  }

  private double prefillWaitSeconds(boolean isUrgent, Instant now) {
    double tokens = isUrgent ? 0 : report.queuedTokens();
    Instant countedAt = report.at();
    for (SentRequest request : sentRequests) {
      if (!isUrgent || request.isUrgent()) {
        tokens =
            remainingTokens(tokens, countedAt, request.at())
                + (double) request.computeTokens() * capacity.senders();
        countedAt = request.at();
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
    double ageSeconds = Duration.between(report.at(), now).toNanos() / 1e9;
    double freedSlots = ageSeconds * capacity.slots() / slotSeconds;
    int queued = isUrgent ? 0 : report.queued();
    double takenSlots =
        report.running() + queued + (double) sentRequests.size() * capacity.senders();
    int usableSlots = isUrgent ? capacity.slots() : capacity.slots() - capacity.reservedSlots();
    double slotsToWaitFor = Math.max(0, takenSlots - freedSlots + 1 - usableSlots);
    return slotsToWaitFor * slotSeconds / capacity.slots();
  }

  /**
   * What a runner can do.
   *
   * @param slots requests that it runs at once
   * @param reservedSlots slots of these that ordinary work is to leave to urgent work
   * @param prefillTokensPerSecond prompt tokens that it computes a second
   * @param senders nodes that send it about as much as this one, which is counted too
   */
  public record Capacity(int slots, int reservedSlots, long prefillTokensPerSecond, int senders) {}

  /**
   * Load of a runner at a time.
   *
   * @param running requests in a slot
   * @param queued requests that wait for a slot
   * @param queuedTokens prompt tokens still to compute
   * @param at when that was so
   */
  public record Report(int running, int queued, long queuedTokens, Instant at) {}

  private record SentRequest(long computeTokens, boolean isUrgent, Instant at) {}
}
