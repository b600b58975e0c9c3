package org.dragonflyhill.daemon.relay;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Order in which calls get the room that comes free. */
public final class WaitingCallsTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);

  private WaitingCalls waiting;
  private List<String> sent;
  private int room;

  /** Starts with no room. */
  @BeforeMethod
  public void start() {
    waiting = new WaitingCalls();
    sent = new ArrayList<>();
    room = 0;
  }

  private void add(String name, int rank, Instant until) {
    waiting.add(
        new WaitingCalls.Call() {
          @Override
          public int rank() {
            return rank;
          }

          @Override
          public boolean isWaitOver(Instant now) {
            return !now.isBefore(until);
          }

          @Override
          public boolean retry(Instant now) {
            if (room == 0 && !isWaitOver(now)) {
              return false;
            }
            room = Math.max(0, room - 1);
            sent.add(name);
            return true;
          }
        });
  }

  @Test
  public void mostUrgentGetsRoomFirst() {
    add("advice 1", 5, NOW.plusMillis(400));
    add("advice 2", 5, NOW.plusMillis(400));
    add("check", 3, NOW.plusMillis(200));
    waiting.retry(NOW);
    assertEquals(sent, List.of());
    room = 2;
    waiting.retry(NOW.plusMillis(25));
    assertEquals(sent, List.of("check", "advice 1"));
    assertEquals(waiting.size(), 1);
  }

  @Test
  public void callsThatWaitedLongEnoughGoOnBehindManyOthers() {
    for (int i = 0; i < 10; i++) {
      add("check " + i, 3, NOW.plusMillis(400));
    }
    add("advice", 5, NOW.plusMillis(100));
    waiting.retry(NOW.plusMillis(100));
    assertEquals(sent, List.of("advice"));
    assertEquals(waiting.size(), 10);
  }
}
