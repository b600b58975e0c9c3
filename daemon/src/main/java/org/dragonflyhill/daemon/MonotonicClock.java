package org.dragonflyhill.daemon;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that never goes backwards and ignores adjustments of the system clock: it returns the
 * wall clock time of its creation plus the time elapsed since.
 *
 * <p>Thread-safe.
 */
public final class MonotonicClock implements InstantSource {

  private final Instant startTime = Instant.now();
  private final long startNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return startTime.plusNanos(System.nanoTime() - startNanos);
  }
}
