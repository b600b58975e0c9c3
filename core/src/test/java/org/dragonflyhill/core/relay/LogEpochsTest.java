package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Epochs of the log service. */
public final class LogEpochsTest {

  /** The first response tells the epoch, whatever it is; a higher one later is a restore. */
  @Test
  public void higherNumberIsRestore() {
    LogEpochs epochs = new LogEpochs();
    assertEquals(epochs.observe(4), LogEpochs.Change.NONE);
    assertEquals(epochs.observe(4), LogEpochs.Change.NONE);
    assertEquals(epochs.observe(6), LogEpochs.Change.RESTORED);
    assertEquals(epochs.newest(), 5);
  }

  /** A late response of an older epoch does not lower what is known. */
  @Test
  public void lowerNumberIsOvertaken() {
    LogEpochs epochs = new LogEpochs();
    epochs.observe(2);
    assertEquals(epochs.observe(1), LogEpochs.Change.OVERTAKEN);
    assertEquals(epochs.newest(), 1);
    assertEquals(epochs.observe(2), LogEpochs.Change.NONE);
  }

  /** All nodes count alike, whether the log service numbers its epochs from 0 or from 1. */
  @Test
  public void countsFromZero() {
    LogEpochs fromOne = new LogEpochs();
    assertEquals(fromOne.newest(), 0);
    fromOne.observe(LogEpochs.FIRST_NUMBER);
    assertEquals(fromOne.newest(), 0);
    LogEpochs fromZero = new LogEpochs();
    fromZero.observe(0);
    assertEquals(fromZero.newest(), 0);
    assertEquals(fromZero.observe(1), LogEpochs.Change.RESTORED);
    assertEquals(fromZero.newest(), 1);
  }

  /** Fencing tokens rise with each epoch and stay exact as JSON numbers. */
  @Test
  public void tokensRiseWithEpochsAndStayExact() {
    long last = new LogPosition(0, 4_000_000_000L).fencingToken();
    for (long epoch = 1; epoch < 5; epoch++) {
      long token = new LogPosition(epoch, 0).fencingToken();
      assertTrue(token > last, token + " in epoch " + epoch);
      last = new LogPosition(epoch, 4_000_000_000L).fencingToken();
    }
    long highest = new LogPosition(LogPosition.MAX_EPOCH, 4_000_000_000L).fencingToken();
    assertEquals((long) (double) highest, highest);
    assertTrue(highest < 1L << 53, "token " + highest);
  }
}
