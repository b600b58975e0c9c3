package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link Admission}. */
public final class AdmissionTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final int SLOTS = 10;

  private Admission admission;

  /** Creates an empty admission control before each test. */
  @BeforeMethod
  public void reset() {
    admission = new Admission(new Admission.Limits(20, 0.1));
  }

  private static Admission.Request request(String id, boolean isUrgent, long deadlineSeconds) {
    Instant deadline = NOW.plusSeconds(deadlineSeconds);
    return new Admission.Request(id, "m", "org", 1, 1_000_000, 10, isUrgent, deadline);
  }

  private Admission.Decision offer(String id, boolean isUrgent) {
    return admission.offer(request(id, isUrgent, 1_000), SLOTS, NOW);
  }

  private void fillOrdinarySlots() {
    for (int i = 0; i < SLOTS - 1; i++) {
      assertTrue(offer("running" + i, false) instanceof Admission.Admitted);
    }
  }

  private static Refusal refusal(Admission.Decision decision) {
    return ((Admission.Refused) decision).refusal();
  }

  @Test
  public void keepsSlotForUrgentRequests() {
    fillOrdinarySlots();
    assertTrue(offer("ordinary", false) instanceof Admission.Queued);
    assertTrue(offer("urgent", true) instanceof Admission.Admitted);
  }

  @Test
  public void admitsUrgentBeforeWaitingOrdinaryRequests() {
    fillOrdinarySlots();
    offer("first-urgent", true);
    offer("ordinary", false);
    offer("urgent", true);
    admission.release("running0", NOW);
    assertEquals(admission.admit("m", SLOTS, NOW), List.of("urgent"));
  }

  @Test
  public void refusesWithRetryAfterWhenQueueIsFull() {
    fillOrdinarySlots();
    for (int i = 0; i < 18; i++) {
      assertTrue(offer("waiting" + i, false) instanceof Admission.Queued);
    }
    Refusal refusal = refusal(offer("more", false));
    assertEquals(refusal.reason(), RefusalReason.QUEUE_FULL);
    assertEquals(refusal.execution(), Execution.NO);
    assertTrue(refusal.retryAfter().isPresent());
    offer("first-urgent", true);
    assertTrue(offer("urgent", true) instanceof Admission.Queued);
  }

  @Test
  public void refusesRequestThatCannotMeetItsDeadline() {
    fillOrdinarySlots();
    for (int i = 0; i < SLOTS - 1; i++) {
      admission.release("running" + i, NOW.plusSeconds(9));
    }
    fillOrdinarySlots();
    Admission.Decision decision = admission.offer(request("late", false, 0), SLOTS, NOW);
    assertEquals(refusal(decision).reason(), RefusalReason.DEADLINE_UNREACHABLE);
    assertTrue(
        admission.offer(request("in-time", false, 5), SLOTS, NOW) instanceof Admission.Queued);
  }

  @Test
  public void refusesOrganisationOverItsTokenLimit() {
    var greedy =
        new Admission.Request("a", "m", "greedy", 1, 100, 1_000, false, NOW.plusSeconds(60));
    assertTrue(admission.offer(greedy, SLOTS, NOW) instanceof Admission.Admitted);
    Refusal refusal = refusal(admission.offer(greedy, SLOTS, NOW));
    assertEquals(refusal.reason(), RefusalReason.ORGANISATION_LIMIT);
    assertTrue(refusal.retryAfter().isPresent());
    assertTrue(offer("other", false) instanceof Admission.Admitted);
  }

  @Test
  public void removesExpiredRequestFromQueue() {
    fillOrdinarySlots();
    admission.offer(request("short", false, 1), SLOTS, NOW);
    assertEquals(admission.expire(NOW.plusSeconds(1)), List.of("short"));
    assertEquals(admission.waiting(), 0);
  }

  @Test
  public void admitsWaitingRequestsWhenNoEndpointIsUsable() {
    fillOrdinarySlots();
    offer("ordinary", false);
    assertEquals(admission.admit("m", 0, NOW), List.of("ordinary"));
  }

  @Test
  public void releaseFreesSlotsAndQueuePositions() {
    Random random = new Random(1);
    List<String> open = new ArrayList<>();
    for (int i = 0; i < 5_000; i++) {
      boolean isRelease = !open.isEmpty() && random.nextBoolean();
      if (isRelease) {
        admission.release(open.remove(random.nextInt(open.size())), NOW);
        admission.admit("m", SLOTS, NOW);
      } else if (!(offer("r" + i, random.nextInt(5) == 0) instanceof Admission.Refused)) {
        open.add("r" + i);
      }
      assertTrue(admission.running() <= SLOTS);
      assertEquals(admission.running() + admission.waiting(), open.size());
    }
    open.forEach(id -> admission.release(id, NOW));
    assertEquals(admission.running() + admission.waiting(), 0);
  }
}
