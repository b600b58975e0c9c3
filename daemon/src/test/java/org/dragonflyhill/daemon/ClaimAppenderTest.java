package org.dragonflyhill.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.ClaimEvent;
import org.dragonflyhill.ports.LogPort;
import org.dragonflyhill.ports.PlatformError;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Batches of claim records. */
public final class ClaimAppenderTest {

  /** Answers of a service in a script whose characters take three bytes each. */
  private static final String ANSWER = "র".repeat(20_000);

  /** A batch is limited in bytes, whatever the script of the answers. */
  @Test
  public void batchesAreLimitedInBytes() {
    BlockedLog log = new BlockedLog();
    try (ClaimAppender appender = new ClaimAppender(log, new NodeMetrics())) {
      for (int i = 0; i < 40; i++) {
        var key = new ClaimEvent.RequestKey("o", "k" + i);
        appender
            .appendOnce(new ClaimEvent.Settled(key, "c" + i, 200, Optional.of(ANSWER), "d"))
            .subscribe();
      }
      log.answer();
    }
    int records = log.batches.stream().mapToInt(List::size).sum();
    assertEquals(records, 40);
    for (List<String> batch : log.batches) {
      int bytes =
          batch.stream().mapToInt(text -> text.getBytes(StandardCharsets.UTF_8).length).sum();
      assertTrue(bytes <= ClaimAppender.MAX_BATCH_BYTES, "batch of " + bytes + " bytes");
    }
  }

  /** A log that answers the first append only when told to, and the others at once. */
  private static final class BlockedLog implements LogPort {
    private final List<List<String>> batches = new ArrayList<>();
    private final Sinks.One<Either<PlatformError, Long>> first = Sinks.one();

    @Override
    public Mono<Either<PlatformError, Long>> append(String stream, List<String> records) {
      batches.add(records);
      return batches.size() == 1 ? first.asMono() : Mono.just(Either.right(0L));
    }

    @Override
    public Mono<Either<PlatformError, Page>> read(
        String stream, long fromOffset, int limit, Duration wait) {
      return Mono.never();
    }

    void answer() {
      first.tryEmitValue(Either.right(0L));
    }
  }
}
