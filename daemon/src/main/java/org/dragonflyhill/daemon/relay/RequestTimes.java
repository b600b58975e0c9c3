package org.dragonflyhill.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.dragonflyhill.core.relay.Arrival;
import org.dragonflyhill.ports.LogEvent;

/** When a request reached each stage of its way through this node, for log lines that name it. */
final class RequestTimes {

  private final Arrival arrival;
  private final Instant completeAt;
  private Optional<Instant> connectingAt = Optional.empty();
  private Optional<Instant> sentAt = Optional.empty();

  /**
   * Creates the times of a request that has just been read completely.
   *
   * @param arrival arrival of its first bytes
   * @param now present time
   */
  RequestTimes(Arrival arrival, Instant now) {
    this.arrival = arrival;
    completeAt = now;
  }

  /** Records that a runner was chosen; only the last choice counts. */
  void onConnecting(Instant now) {
    connectingAt = Optional.of(now);
    sentAt = Optional.empty();
  }

  void onSent(Instant now) {
    sentAt = Optional.of(now);
  }

  /** Returns the longest time that may have passed since the caller sent the request. */
  Duration maxAge(Instant now) {
    return Duration.between(arrival.notBefore(), now);
  }

  /**
   * Adds the time since the request was read, and the time spent in each stage, in milliseconds:
   * unread in the socket (at most), being received, waiting for a runner, connecting to it, and
   * running there.
   */
  LogEvent addTo(LogEvent line, Instant now) {
    Instant waitedUntil = connectingAt.orElse(now);
    Instant connectedAt = sentAt.orElse(now);
    return line.with("age_ms", millis(arrival.readAt(), now))
        .with("unread_ms", millis(arrival.notBefore(), arrival.readAt()))
        .with("receive_ms", millis(arrival.readAt(), completeAt))
        .with("wait_ms", millis(completeAt, waitedUntil))
        .with("connect_ms", connectingAt.map(since -> millis(since, connectedAt)).orElse(0L))
        .with("sent_ms", sentAt.map(since -> millis(since, now)).orElse(0L));
  }

  private static long millis(Instant from, Instant to) {
    return Duration.between(from, to).toMillis();
  }
}
