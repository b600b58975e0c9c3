package org.dragonflyhill.standins.replay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests of {@link TraceGenerator} and {@link Trace}. */
public final class TraceGeneratorTest {

  private static final TraceGenerator.Shape SHAPE =
      new TraceGenerator.Shape(Duration.ofSeconds(10), 2);

  private static Trace trace() {
    return new TraceGenerator(Deployment.RIQUELME, SHAPE, new Random(7)).generate(0.5);
  }

  @Test
  public void sameSeedGivesSameTrace() {
    assertEquals(trace(), trace());
  }

  @Test
  public void historiesReturnAfterMinutesOrMore() {
    Map<String, Long> lastVisits = new HashMap<>();
    for (TraceRequest request : trace().requests()) {
      List<String> pieces = request.pieces();
      if (pieces.size() > 1) {
        long last = lastVisits.getOrDefault(pieces.get(1), Long.MIN_VALUE / 2);
        assertTrue(request.arrivalMillis() - last >= Duration.ofMinutes(1).toMillis());
        lastVisits.put(pieces.get(1), request.arrivalMillis());
      }
    }
  }

  @Test
  public void writtenTraceReadsBackEqual() throws IOException {
    Path file = Files.createTempFile("trace", ".jsonl");
    try {
      trace().write(file);
      assertEquals(Trace.read(file, trace().measureFromMillis()).get(), trace());
    } finally {
      Files.delete(file);
    }
  }
}
