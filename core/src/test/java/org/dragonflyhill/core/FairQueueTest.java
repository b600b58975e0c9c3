package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests of {@link FairQueue}. */
public final class FairQueueTest {

  private final Random random = new Random(1);

  private static FairQueue.Item item(String organisation, int number, int share, long work) {
    return new FairQueue.Item(organisation + number, organisation, share, work);
  }

  @Test
  public void keepsOrderWithinOrganisation() {
    FairQueue queue = new FairQueue();
    queue.add(item("a", 1, 1, 10));
    queue.add(item("a", 2, 1, 10));
    assertEquals(queue.poll().orElseThrow().id(), "a1");
    assertEquals(queue.poll().orElseThrow().id(), "a2");
    assertTrue(queue.poll().isEmpty());
  }

  @Test
  public void sharesWorkInProportionForAnyRequestSize() {
    FairQueue queue = new FairQueue();
    for (int i = 0; i < 3_000; i++) {
      queue.add(item("large", i, 3, 1 + random.nextInt(1_000)));
      queue.add(item("small", i, 1, 1 + random.nextInt(100)));
    }
    Map<String, Long> served = new HashMap<>();
    for (int i = 0; i < 2_000; i++) {
      FairQueue.Item item = queue.poll().orElseThrow();
      served.merge(item.organisation(), item.work(), Long::sum);
    }
    double ratio = (double) served.get("large") / served.get("small");
    assertTrue(ratio > 2.85 && ratio < 3.15, "ratio " + ratio);
  }

  @Test
  public void newOrganisationDoesNotWaitBehindLongQueue() {
    FairQueue queue = new FairQueue();
    for (int i = 0; i < 100; i++) {
      queue.add(item("busy", i, 1, 10));
    }
    queue.poll();
    assertEquals(queue.countAhead("new", 1), 1);
    queue.add(item("new", 0, 1, 10));
    assertEquals(queue.poll().orElseThrow().organisation(), "new");
  }

  @Test
  public void idleOrganisationGainsNoPriority() {
    FairQueue queue = new FairQueue();
    for (int i = 0; i < 100; i++) {
      queue.add(item("busy", i, 1, 10));
    }
    for (int i = 0; i < 50; i++) {
      queue.poll();
    }
    for (int i = 0; i < 50; i++) {
      queue.add(item("late", i, 1, 10));
    }
    int late = 0;
    for (int i = 0; i < 20; i++) {
      late += queue.poll().orElseThrow().organisation().equals("late") ? 1 : 0;
    }
    assertEquals(late, 10);
  }

  @Test
  public void removedRequestCostsNothing() {
    FairQueue queue = new FairQueue();
    queue.add(item("a", 1, 1, 1_000_000));
    queue.add(item("a", 2, 1, 10));
    queue.add(item("b", 1, 1, 100));
    assertTrue(queue.remove("a1"));
    assertFalse(queue.remove("a1"));
    assertEquals(queue.poll().orElseThrow().id(), "a2");
    assertEquals(queue.size(), 1);
  }
}
