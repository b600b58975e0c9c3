package org.dragonflyhill.peer;

import java.io.IOException;
import java.time.Duration;
import org.testng.annotations.Test;

/** Open-ended form of {@link PeerFuzzTest}, run by {@code scripts/fuzz-peer}. */
public final class PeerFuzzRun {

  @Test
  public void servesValidConnectionUntilTimeLimit() throws IOException {
    final long seed = Long.getLong("dragonflyhill.seed", 1);
    Duration time = Duration.ofSeconds(Long.getLong("dragonflyhill.seconds", 1));
    long end = System.nanoTime() + time.toNanos();
    int rounds = 0;
    try (PeerFuzz fuzz = new PeerFuzz(seed)) {
      while (System.nanoTime() < end) {
        fuzz.round();
        rounds++;
      }
    }
    System.out.printf("seed %d: %d rounds, every good connection was served%n", seed, rounds);
  }
}
