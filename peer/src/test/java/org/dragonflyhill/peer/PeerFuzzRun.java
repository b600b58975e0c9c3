package org.dragonflyhill.peer;

import java.io.IOException;
import java.time.Duration;
import org.testng.annotations.Test;

/** Fuzz test with a configurable seed and duration, run by {@code scripts/fuzz-peer}. */
public final class PeerFuzzRun {

  @Test
  public void servesValidConnectionUntilTimeLimit() throws IOException {
    final long seed = Long.getLong("dragonflyhill.seed", 1);
    Duration duration = Duration.ofSeconds(Long.getLong("dragonflyhill.seconds", 1));
    long end = System.nanoTime() + duration.toNanos();
    int rounds = 0;
    try (PeerFuzz fuzz = new PeerFuzz(seed)) {
      while (System.nanoTime() < end) {
        fuzz.round();
        rounds++;
      }
    }
    System.out.printf("seed %d: %d rounds, every valid connection was served%n", seed, rounds);
  }
}
