package org.dragonflyhill.ports;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Tests of {@link LogFollower}. */
public final class LogFollowerTest {

  private static final Duration LIMIT = Duration.ofSeconds(30);

  @Test
  public void continuesAfterHandlerFailure() throws InterruptedException {
    FakeLog log = new FakeLog();
    log.records.add("first");
    AtomicInteger handlerCalls = new AtomicInteger();
    CountDownLatch pageHandled = new CountDownLatch(1);
    LogFollower.PageHandler handler =
        page -> {
          if (handlerCalls.incrementAndGet() == 1) {
            throw new IllegalStateException("handler failure");
          }
          pageHandled.countDown();
        };
    try (LogFollower follower = new LogFollower(log, "stream", 0, handler)) {
      follower.start();
      assertTrue(pageHandled.await(LIMIT.toSeconds(), TimeUnit.SECONDS));
    }
  }
}
