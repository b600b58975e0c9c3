package org.dragonflyhill.daemon;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that never goes back and is not set: the wall time at its creation plus the time passed.
 *
 * <p>Thread-safe.
 */
public final class MonotonicClock implements InstantSource {

  private final Instant begin = Instant.now();
  private final long beginNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return begin.plusNanos(System.nanoTime() - beginNanos);
  }
}
