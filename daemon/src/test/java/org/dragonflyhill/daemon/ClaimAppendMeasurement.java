package org.dragonflyhill.daemon;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.dragonflyhill.core.ClaimEvent;
import org.dragonflyhill.core.ClaimTable;
import org.dragonflyhill.ports.ClaimRecord;
import org.dragonflyhill.ports.LogPort;
import org.dragonflyhill.ports.PlatformError;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;

/**
 * Measures the appends and the latency of batched claims with a log that accepts 300 appends per
 * second, and the memory and apply time of a claim table. Run with {@code
 * -Dtest=ClaimAppendMeasurement}.
 */
public final class ClaimAppendMeasurement {

  private static final long APPEND_NANOS = 1_000_000_000L / 300;
  private static final long RUN_NANOS = 8_000_000_000L;
  private static final Duration SERVICE_TIME = Duration.ofMillis(20);

  /** Returns pairs of requests per second and number of nodes. */
  @DataProvider
  public Object[][] requestRatesAndNodes() {
    return new Object[][] {
      {1, 1}, {100, 1}, {1_000, 1}, {100, 5}, {1_000, 5}, {100, 320}, {1_000, 320}
    };
  }

  @Test(dataProvider = "requestRatesAndNodes")
  public void appendsAndLatency(int rate, int nodes) throws InterruptedException {
    RateLimitedLog log = new RateLimitedLog();
    List<ClaimAppender> appenders = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      appenders.add(new ClaimAppender(log, new NodeMetrics()));
    }
    ConcurrentLinkedQueue<Long> waitNanos = new ConcurrentLinkedQueue<>();
    Random random = new Random(1);
    long start = System.nanoTime();
    long next = start;
    int requests = 0;
    while (next - start < RUN_NANOS) {
      next += (long) (-Math.log(1 - random.nextDouble()) * 1_000_000_000L / rate);
      sleepUntil(next);
      request(appenders.get(random.nextInt(nodes)), requests++, waitNanos);
    }
    Thread.sleep(3_000);
    List<Long> sorted = new ArrayList<>(waitNanos);
    Collections.sort(sorted);
    System.out.printf(
        "MEASURED rate %d/s nodes %d | requests %d | decided %d | appends %d (%.1f/s) | appends per"
            + " request %.3f | append wait p50 %.1f ms p99 %.1f ms%n",
        rate,
        nodes,
        requests,
        sorted.size(),
        log.appends.get(),
        log.appends.get() / ((RUN_NANOS + 3e9) / 1e9),
        (double) log.appends.get() / requests,
        sorted.get(sorted.size() / 2) / 1e6,
        sorted.get(sorted.size() * 99 / 100) / 1e6);
    appenders.forEach(ClaimAppender::close);
  }

  @Test
  public void memoryAndFoldTimeOfTable() {
    int count = 100_000;
    List<String> texts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      texts.add(ClaimRecord.of(claimed(i)).text());
      texts.add(ClaimRecord.of(settled(i)).text());
    }
    long before = usedBytes();
    long start = System.nanoTime();
    ClaimTable table = new ClaimTable();
    for (int i = 0; i < texts.size(); i++) {
      table.apply(i, ClaimRecord.read(texts.get(i)).get());
    }
    long nanos = System.nanoTime() - start;
    long bytes = usedBytes() - before;
    System.out.printf(
        "MEASURED table of %d entries, answers of 200 bytes | %d bytes an entry | %.2f us a"
            + " record%n",
        table.entries().size(), bytes / count, nanos / 1e3 / texts.size());
  }

  private static void request(
      ClaimAppender appender, int i, ConcurrentLinkedQueue<Long> waitNanos) {
    long requestedAt = System.nanoTime();
    appender
        .appendOnce(claimed(i))
        .doOnNext(answer -> waitNanos.add(System.nanoTime() - requestedAt))
        .delayElement(SERVICE_TIME)
        .flatMap(answer -> appender.appendOutcome(settled(i)))
        .subscribe();
  }

  private static ClaimEvent claimed(int i) {
    return new ClaimEvent.Claimed(key(i), id(i), "node-a", "d".repeat(64), i);
  }

  private static ClaimEvent settled(int i) {
    return new ClaimEvent.Settled(key(i), id(i), 200, Optional.of("x".repeat(200)), "d".repeat(64));
  }

  private static ClaimEvent.RequestKey key(int i) {
    return new ClaimEvent.RequestKey("organisation", "order-" + i + "-0123456789abcdef");
  }

  private static String id(int i) {
    return "node-a-00000000-0000-0000-0000-" + (100_000_000_000L + i);
  }

  private static long usedBytes() {
    System.gc();
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    long left = nanos - System.nanoTime();
    if (left > 0) {
      Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
    }
  }

  /** A log that serves appends sequentially and takes the same time for each. */
  private static final class RateLimitedLog implements LogPort {

    private final AtomicLong appends = new AtomicLong();
    private final AtomicLong idleAt = new AtomicLong(System.nanoTime());

    @Override
    public Mono<Either<PlatformError, Long>> append(String stream, List<String> records) {
      long now = System.nanoTime();
      long completesAt = idleAt.updateAndGet(free -> Math.max(free, now) + APPEND_NANOS);
      long first = appends.getAndIncrement();
      return Mono.delay(Duration.ofNanos(completesAt - now)).map(tick -> Either.right(first));
    }

    @Override
    public Mono<Either<PlatformError, Page>> read(
        String stream, long fromOffset, int limit, Duration wait) {
      return Mono.just(Either.right(new Page(0, 0, List.of())));
    }
  }
}
