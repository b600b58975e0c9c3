package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.Test;

/** Event streams, the shares of a route and the shared retry budget. */
public final class EventStreamTest {

  private static final long MEMORY_BYTES = 10_000_000;

  private static final Instant NOW = Instant.ofEpochSecond(1_000);

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Complete events are returned unchanged and in order, however the bytes are split. */
  @Test
  public void returnsCompleteEventsOnly() {
    StringBuilder text = new StringBuilder();
    for (int i = 1; i <= 50; i++) {
      text.append("id: ").append(i).append(i % 3 == 0 ? "\r\n" : "\n");
      text.append("data: x").append("y".repeat(i)).append(i % 3 == 0 ? "\r\n\r\n" : "\n\n");
    }
    byte[] all = bytes(text.toString());
    for (int seed = 0; seed < 50; seed++) {
      Random random = new Random(seed);
      EventStream stream = new EventStream(new RelayMemory(MEMORY_BYTES).openEvent());
      StringBuilder out = new StringBuilder();
      int at = 0;
      while (at < all.length) {
        int length = Math.min(all.length - at, 1 + random.nextInt(40));
        byte[] chunk = java.util.Arrays.copyOfRange(all, at, at + length);
        out.append(new String(stream.append(chunk), StandardCharsets.ISO_8859_1));
        at += length;
      }
      assertEquals(out.toString(), text.toString(), "seed " + seed);
      assertEquals(stream.lastId(), Optional.of("50"));
      assertFalse(stream.isInsideEvent());
    }
  }

  /**
   * Guards against a node that runs out of memory when many runners send events without end: a long
   * incomplete event is given up once those of all streams hold a fifth of the memory, and a short
   * one goes on.
   */
  @Test
  public void limitsIncompleteEventsOfAllStreamsTogether() {
    RelayMemory memory = new RelayMemory(MEMORY_BYTES);
    List<EventStream> streams = new ArrayList<>();
    long held = 0;
    while (held <= MEMORY_BYTES / 5) {
      EventStream stream = new EventStream(memory.openEvent());
      streams.add(stream);
      stream.append(new byte[EventStream.MAX_EVENT_BYTES]);
      held += EventStream.MAX_EVENT_BYTES;
      assertEquals(memory.total(), held);
      assertEquals(stream.lengthError().isPresent(), held > MEMORY_BYTES / 5, held + " bytes");
    }
    EventStream sound = new EventStream(memory.openEvent());
    sound.append(new byte[EventStream.MAX_SMALL_EVENT_BYTES]);
    assertEquals(sound.lengthError(), Optional.empty());
    sound.append(bytes("\n\n"));
    assertEquals(memory.total(), held, "complete events are not held");
    streams.forEach(EventStream::dropPartial);
    assertEquals(memory.total(), 0);
    assertEquals(streams.get(streams.size() - 1).lengthError(), Optional.empty());
  }

  /** After a partial event is dropped, the stream continues behind the last complete event. */
  @Test
  public void dropsThePartialEvent() {
    EventStream stream = new EventStream(new RelayMemory(MEMORY_BYTES).openEvent());
    assertEquals(stream.append(bytes("id: 1\ndata: a\n\nid: 2\nda")).length, 15);
    assertTrue(stream.isInsideEvent());
    assertEquals(stream.lastId(), Optional.of("1"));
    stream.dropPartial();
    assertEquals(new String(stream.append(bytes("id: 2\ndata: b\n\n"))), "id: 2\ndata: b\n\n");
    assertEquals(stream.lastId(), Optional.of("2"));
  }

  /** A stream that is only tracked is inside an event exactly between two event boundaries. */
  @Test
  public void tracksEventBoundaries() {
    EventStream stream = new EventStream(new RelayMemory(MEMORY_BYTES).openEvent());
    assertFalse(stream.isInsideEvent());
    stream.track(bytes("id: 1\ndata: a\n"));
    assertTrue(stream.isInsideEvent());
    stream.track(new byte[0]);
    assertTrue(stream.isInsideEvent());
    stream.track(bytes("\r\n"));
    assertFalse(stream.isInsideEvent());
    stream.track(bytes("id: 2\ndata: b\n\nid"));
    assertTrue(stream.isInsideEvent());
    assertEquals(stream.lastId(), Optional.of("2"));
  }

  /** Retries of a node stay within its share of the budget in every window. */
  @Test
  public void budgetHoldsInEveryWindow() {
    var limits = new SharedRetryBudget.Limits(Duration.ofSeconds(10), 0.2, 40, 0.5);
    SharedRetryBudget budget = new SharedRetryBudget(limits);
    int granted = 0;
    for (int i = 0; i < 100; i++) {
      budget.recordRequest(NOW);
      granted += budget.tryAcquire(4, NOW) ? 1 : 0;
    }
    assertTrue(granted <= 100 * 0.2 * 0.5 + 40 * 0.5 / 4, "granted " + granted);
    assertTrue(granted >= 10, "granted " + granted);
    Instant later = NOW.plusSeconds(11);
    int again = 0;
    for (int i = 0; i < 50; i++) {
      again += budget.tryAcquire(4, later) ? 1 : 0;
    }
    assertEquals(again, 5);
  }

  /** Requests of a route are split by the weights of its shares. */
  @Test
  public void splitsByWeight() {
    Route route =
        new Route(
            "r",
            "h",
            "/x/",
            Route.Kind.SAFE,
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            1,
            java.util.List.of(new Route.Share("a", 90), new Route.Share("b", 10)),
            1,
            false,
            false);
    assertEquals(route.serviceFor(0), "a");
    assertEquals(route.serviceFor(0.899), "a");
    assertEquals(route.serviceFor(0.9), "b");
    assertEquals(route.serviceFor(0.9999), "b");
  }
}
