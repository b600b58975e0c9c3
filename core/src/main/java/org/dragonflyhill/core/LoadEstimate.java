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

  private static final int MAX_SENT = 1_024;

  private final Speed speed;
  private final Deque<Sent> sent = new ArrayDeque<>();
  private Report report = new Report(0, 0, 0, Instant.EPOCH);

  /** Creates an estimate of an idle runner. */
  public LoadEstimate(Speed speed) {
    this.speed = speed;
  }

  /** Takes a report, unless a later one was taken before. */
  public void report(Report newer) {
    if (newer.at().isBefore(report.at())) {
      return;
    }
    report = newer;
    while (!sent.isEmpty() && !sent.peekFirst().at().isAfter(newer.at())) {
      sent.removeFirst();
    }
  }

  /** Notes that this node sent a request with so many prompt tokens to compute. */
  public void sent(long computeTokens, boolean isUrgent, Instant at) {
    sent.addLast(new Sent(computeTokens, isUrgent, at));
    if (sent.size() > MAX_SENT) {
      sent.removeFirst();
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
    double seconds = prefillSeconds(isUrgent, now) + slotSeconds(isUrgent, slotTime, now);
    return Duration.ofNanos((long) (seconds * 1e9));
  }

  private double prefillSeconds(boolean isUrgent, Instant now) {
    double tokens = isUrgent ? 0 : report.queuedTokens();
    Instant at = report.at();
    for (Sent one : sent) {
      if (!isUrgent || one.isUrgent()) {
        tokens = drained(tokens, at, one.at()) + (double) one.computeTokens() * speed.senders();
        at = one.at();
      }
    }
    return drained(tokens, at, now) / speed.prefillTokensPerSecond();
  }

  private double drained(double tokens, Instant from, Instant to) {
    double seconds = Duration.between(from, to).toNanos() / 1e9;
    return Math.max(0, tokens - seconds * speed.prefillTokensPerSecond());
  }

  private double slotSeconds(boolean isUrgent, Duration slotTime, Instant now) {
    double slotSeconds = slotTime.toNanos() / 1e9;
    double age = Duration.between(report.at(), now).toNanos() / 1e9;
    double freed = age * speed.slots() / slotSeconds;
    int queued = isUrgent ? 0 : report.queued();
    double taken = report.running() + queued + (double) sent.size() * speed.senders();
    int usable = isUrgent ? speed.slots() : speed.slots() - speed.reservedSlots();
    double ahead = Math.max(0, taken - freed + 1 - usable);
    return ahead * slotSeconds / speed.slots();
  }

  /**
   * What a runner can do.
   *
   * @param slots requests that it runs at once
   * @param reservedSlots slots of these that ordinary work is to leave to urgent work
   * @param prefillTokensPerSecond prompt tokens that it computes a second
   * @param senders nodes that send it about as much as this one, which is counted too
   */
  public record Speed(int slots, int reservedSlots, long prefillTokensPerSecond, int senders) {}

  /**
   * Load of a runner at a time.
   *
   * @param running requests in a slot
   * @param queued requests that wait for a slot
   * @param queuedTokens prompt tokens still to compute
   * @param at when that was so
   */
  public record Report(int running, int queued, long queuedTokens, Instant at) {}

  private record Sent(long computeTokens, boolean isUrgent, Instant at) {}
}
