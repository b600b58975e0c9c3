package org.dragonflyhill.daemon.relay;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the order in which waiting requests are dispatched. */
public final class RequestQueueTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);

  private RequestQueue queue;
  private List<String> sent;
  private int room;

  /** Creates an empty queue without room for any request. */
  @BeforeMethod
  public void start() {
    queue = new RequestQueue();
    sent = new ArrayList<>();
    room = 0;
  }

  private void add(String name, int rank, Instant until) {
    queue.add(
        new RequestQueue.Entry() {
          @Override
          public int rank() {
            return rank;
          }

          @Override
          public boolean isWaitOver(Instant now) {
            return !now.isBefore(until);
          }

          @Override
          public boolean tryDispatch(Instant now) {
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
  public void sendsMostUrgentFirst() {
    add("advice 1", 5, NOW.plusMillis(400));
    add("advice 2", 5, NOW.plusMillis(400));
    add("check", 3, NOW.plusMillis(200));
    queue.retry(NOW);
    assertEquals(sent, List.of());
    room = 2;
    queue.retry(NOW.plusMillis(25));
    assertEquals(sent, List.of("check", "advice 1"));
    assertEquals(queue.size(), 1);
  }

  @Test
  public void sendsExpiredEntriesBehindManyOthers() {
    for (int i = 0; i < 10; i++) {
      add("check " + i, 3, NOW.plusMillis(400));
    }
    add("advice", 5, NOW.plusMillis(100));
    queue.retry(NOW.plusMillis(100));
    assertEquals(sent, List.of("advice"));
    assertEquals(queue.size(), 10);
  }
}
