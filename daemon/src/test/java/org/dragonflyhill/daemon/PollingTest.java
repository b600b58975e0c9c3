package org.dragonflyhill.daemon;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;

/** Tests of {@link Polling}. */
public final class PollingTest {

  @Test
  public void continuesAfterFailedRounds() {
    AtomicInteger rounds = new AtomicInteger();
    try (Polling polling =
        Polling.every(
            Duration.ofMillis(5),
            "test",
            () -> {
              int round = rounds.incrementAndGet();
              if (round == 1) {
                throw new IllegalStateException("thrown");
              }
              return Mono.error(new IllegalStateException("signalled"));
            })) {
      Awaitility.await().until(() -> rounds.get() > 3);
    }
  }
}
