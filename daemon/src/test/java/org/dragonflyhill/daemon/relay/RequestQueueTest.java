package org.dragonflyhill.daemon.relay;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the order in which waiting requests are dispatched. */
public final class RequestQueueTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);

  private RequestQueue queue;
  private List<String> sent;
  private int room;
  private Set<String> fullServices;

  /** Creates an empty queue without room for any request. */
  @BeforeMethod
  public void start() {
    queue = new RequestQueue();
    sent = new ArrayList<>();
    room = 0;
    fullServices = new HashSet<>();
  }

  private void add(String name, int rank, Instant until) {
    add(name, "s", "granja", rank, until);
  }

  private void add(String name, String service, String organisation, int rank, Instant until) {
    queue.add(
        new RequestQueue.Entry() {
          @Override
          public int rank() {
            return rank;
          }

          @Override
          public String service() {
            return service;
          }

          @Override
          public Optional<String> organisation() {
            return Optional.of(organisation);
          }

          @Override
          public boolean isWaitOver(Instant now) {
            return !now.isBefore(until);
          }

          @Override
          public boolean tryDispatch(Instant now) {
            if ((room == 0 || fullServices.contains(service)) && !isWaitOver(now)) {
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

  /** An organisation with many requests must not keep the others of its rank waiting. */
  @Test
  public void organisationsTakeTurns() {
    add("a1", "s", "a", 3, NOW.plusMillis(400));
    add("a2", "s", "a", 3, NOW.plusMillis(400));
    add("a3", "s", "a", 3, NOW.plusMillis(400));
    add("b1", "s", "b", 3, NOW.plusMillis(400));
    room = 2;
    queue.retry(NOW);
    assertEquals(sent, List.of("a1", "b1"));
  }

  /** Requests that wait for one service must not hold back those for another. */
  @Test
  public void waitingForOneServiceDoesNotDelayAnother() {
    for (int i = 0; i < 10; i++) {
      add("busy " + i, "busy", "a", 3, NOW.plusMillis(400));
    }
    add("other", "other", "a", 5, NOW.plusMillis(400));
    fullServices.add("busy");
    room = 1;
    queue.retry(NOW);
    assertEquals(sent, List.of("other"));
  }

  @Test
  public void countsRequestsAhead() {
    add("check", "s", "a", 3, NOW.plusMillis(400));
    add("advice", "s", "a", 5, NOW.plusMillis(400));
    add("other", "other", "a", 1, NOW.plusMillis(400));
    assertEquals(queue.waitingAhead("s", 3), 1);
    assertEquals(queue.waitingAhead("s", 5), 2);
    assertEquals(queue.waitingAhead("s", 0), 0);
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
