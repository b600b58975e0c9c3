package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** The limit on attempts to run one request. */
public final class AttemptLimitTest {

  private static AttemptLimit limit(int sent, int rejected) {
    AttemptLimit limit = new AttemptLimit();
    for (int i = 0; i < sent; i++) {
      limit.recordSent();
    }
    for (int i = 0; i < rejected; i++) {
      limit.recordRejected();
    }
    return limit;
  }

  /** A request without an answer is sent to no more runners than its route permits. */
  @Test
  public void newRequestCountsRejections() {
    assertTrue(limit(1, 1).permitsAnother(2, false));
    assertFalse(limit(2, 1).permitsAnother(2, false));
    assertFalse(limit(2, 2).permitsAnother(2, false));
    assertEquals(limit(2, 1).sent(), 2);
  }

  /** An answer that has begun is not given up because a runner rejected to go on with it. */
  @Test
  public void begunAnswerCountsRunsOnly() {
    assertTrue(limit(2, 1).permitsAnother(2, true));
    assertFalse(limit(3, 1).permitsAnother(2, true), "two runs");
    assertTrue(limit(4, 3).permitsAnother(2, true));
    assertFalse(limit(5, 4).permitsAnother(2, true), "too many rejections");
  }
}
