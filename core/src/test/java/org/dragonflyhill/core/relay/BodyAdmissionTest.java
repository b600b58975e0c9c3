package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.testng.annotations.Test;

/** Which bodies are received, wait and are refused while memory is short. */
public final class BodyAdmissionTest {

  private static final long LARGE = 1_000_000;
  private static final Instant NOW = Instant.EPOCH;

  private static final class Body implements BodyAdmission.Body {
    private final long length;
    private final ByteBudget.Share share;
    private String result = "waits";

    Body(RelayMemory memory, long length) {
      this.length = length;
      share = memory.open();
    }

    @Override
    public long length() {
      return length;
    }

    @Override
    public ByteBudget.Share share() {
      return share;
    }

    @Override
    public void onAdmitted() {
      result = "admitted";
    }

    @Override
    public void onRefused() {
      result = "refused";
    }
  }

  /** Large bodies wait in order or are refused late; small ones are not kept out by them. */
  @Test
  public void admitsInOrderAndRefusesLate() {
    RelayMemory memory = new RelayMemory(2 * LARGE);
    BodyAdmission admission = new BodyAdmission(memory);
    Body first = new Body(memory, LARGE);
    Body second = new Body(memory, LARGE);
    assertTrue(admission.admit(first, NOW));
    assertFalse(admission.admit(second, NOW));
    assertTrue(admission.isBlocked());
    Body third = new Body(memory, LARGE);
    assertFalse(admission.admit(third, NOW));
    assertTrue(admission.admit(new Body(memory, 10), NOW));
    first.share().release();
    admission.update(NOW);
    assertEquals(second.result, "admitted");
    assertEquals(third.result, "waits");
    admission.update(NOW.plus(BodyAdmission.MAX_WAIT));
    assertEquals(third.result, "refused");
    assertEquals(admission.size(), 0);
  }
}
