package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits how many bytes a second are sent for one purpose. What is sent as a whole may exceed the
 * allowance, which then has to recover.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class ByteAllowance {

  /** Time for which bytes may be sent at once after a pause. */
  private static final Duration MAX_BURST = Duration.ofMillis(100);

  private static final double NANOS_PER_SECOND = 1e9;

  private final double bytesPerSecond;
  private double available;
  private Instant refilledAt;

  /**
   * Creates an allowance for which a first burst is available.
   *
   * @param bytesPerSecond the limit
   * @param now present time
   */
  public ByteAllowance(double bytesPerSecond, Instant now) {
    this.bytesPerSecond = bytesPerSecond;
    available = maxAvailable();
    refilledAt = now;
  }

  private double maxAvailable() {
    return bytesPerSecond * MAX_BURST.toNanos() / NANOS_PER_SECOND;
  }

  /** Returns whether something may be sent now. */
  public boolean isAvailable(Instant now) {
    double seconds = Duration.between(refilledAt, now).toNanos() / NANOS_PER_SECOND;
    available = Math.min(maxAvailable(), available + seconds * bytesPerSecond);
    refilledAt = now;
    return available > 0;
  }

  /** Records that bytes are sent. */
  public void spend(long bytes) {
    available -= bytes;
  }
}
