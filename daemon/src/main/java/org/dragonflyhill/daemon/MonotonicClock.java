package org.dragonflyhill.daemon;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that never goes back and is not set: the wall time at its creation plus the time passed.
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
