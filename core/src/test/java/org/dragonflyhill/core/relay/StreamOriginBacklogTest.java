package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which origins of streams are written to the log, and when. */
public final class StreamOriginBacklogTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final Duration MAX_AGE = Duration.ofSeconds(18);
  private static final StreamOrigin ORIGIN = new StreamOrigin("s", "v1", "");

  private StreamOriginBacklog backlog;

  /** Creates a backlog of one stream. */
  @BeforeMethod
  public void begin() {
    backlog = new StreamOriginBacklog();
    backlog.add("a", ORIGIN, NOW);
  }

  private Set<String> next(Instant now) {
    return backlog.nextBatch(service -> true, MAX_AGE, 4, now).keySet();
  }

  /** Nothing is written while a service has one version; running streams are once it has two. */
  @Test
  public void writesRunningStreamsWhenAnotherVersionAppears() {
    assertEquals(backlog.nextBatch(service -> false, MAX_AGE, 4, NOW), Map.of());
    backlog.add("b", new StreamOrigin("other", "v1", ""), NOW.plusSeconds(1));
    assertEquals(
        backlog.nextBatch("s"::equals, MAX_AGE, 4, NOW.plusSeconds(5)), Map.of("a", ORIGIN));
  }

  /** Each origin is written once, one batch at a time, and again if that failed. */
  @Test
  public void writesOnceUnlessTheBatchFailed() {
    assertEquals(next(NOW), Set.of("a"));
    backlog.add("b", ORIGIN, NOW);
    assertEquals(next(NOW.plusSeconds(1)), Set.of(), "a batch is being written");
    backlog.batchEnded(false);
    assertEquals(next(NOW.plusSeconds(1)), Set.of("a", "b"));
    backlog.batchEnded(true);
    assertEquals(next(NOW.plusSeconds(2)), Set.of());
  }

  /** The log may lack what was written right before a restore. */
  @Test
  public void writesAgainAfterRestore() {
    next(NOW);
    backlog.batchEnded(true);
    backlog.logRestored();
    assertEquals(next(NOW.plusSeconds(1)), Set.of("a"));
  }

  /** Streams that no caller takes up any more are not written. */
  @Test
  public void forgetsOldStreams() {
    assertEquals(next(NOW.plus(MAX_AGE).plusMillis(1)), Set.of());
  }

  /** All nodes together write a bounded number of batches per second. */
  @Test
  public void batchesArePacedByTheNumberOfNodes() {
    for (int nodes : new int[] {4, 61, 320}) {
      StreamOriginBacklog each = new StreamOriginBacklog();
      int batches = 0;
      for (int millis = 0; millis < 60_000; millis += 50) {
        Instant now = NOW.plusMillis(millis);
        each.add("a" + millis, ORIGIN, now);
        if (!each.nextBatch(service -> true, MAX_AGE, nodes, now).isEmpty()) {
          batches++;
          each.batchEnded(true);
        }
      }
      double total = batches * nodes / 60.0;
      int limit = StreamOriginBacklog.MAX_BATCHES_PER_SECOND + nodes / 60;
      assertEquals(total <= limit, true, nodes + " nodes: " + total);
    }
  }

  /** Batches and memory are bounded. */
  @Test
  public void isBounded() {
    for (int i = 0; i < 3 * StreamOriginBacklog.MAX_STREAMS; i++) {
      backlog.add("many" + i, ORIGIN, NOW);
    }
    int written = 0;
    for (int i = 0; i < 100; i++) {
      int size = next(NOW.plusSeconds(i % 18)).size();
      assertEquals(size <= StreamOriginBacklog.MAX_BATCH, true, "batch of " + size);
      written += size;
      backlog.batchEnded(true);
    }
    assertEquals(written <= StreamOriginBacklog.MAX_STREAMS, true, "written " + written);
  }
}
