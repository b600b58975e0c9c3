package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides which new requests a node still accepts while it shuts down: those that will have ended
 * when it exits, by their deadline or by how long others of their route have taken.
 *
 * <p>Immutable and thread-safe; no argument may be null.
 */
public final class ShutdownAdmission {

  /** Factor on the time that requests have taken, since the next one may take somewhat longer. */
  private static final double DURATION_MARGIN = 1.25;

  private final Instant endsAt;

  /** Creates the admission of a node that ends all requests at a given time. */
  public ShutdownAdmission(Instant endsAt) {
    this.endsAt = endsAt;
  }

  /**
   * Returns whether a request will have ended in time.
   *
   * @param deadline when the request ends at the latest
   * @param usualDuration how long such requests take, empty if that is not known
   * @param now present time
   */
  public boolean mayAccept(Instant deadline, Optional<Duration> usualDuration, Instant now) {
    if (!deadline.isAfter(endsAt)) {
      return true;
    }
    return usualDuration
        .map(time -> Duration.ofNanos((long) (time.toNanos() * DURATION_MARGIN)))
        .filter(time -> !now.plus(time).isAfter(endsAt))
        .isPresent();
  }
}
