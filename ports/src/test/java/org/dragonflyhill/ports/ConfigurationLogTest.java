package org.dragonflyhill.ports;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.dragonflyhill.core.ChangeRecord;
import org.dragonflyhill.core.ConfigurationObject;
import org.dragonflyhill.core.ConfigurationState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link ConfigurationLog}. */
public final class ConfigurationLogTest {

  private FakeLog log;
  private ConfigurationLog configuration;

  /** Creates an empty log. */
  @BeforeMethod
  public void setUp() {
    log = new FakeLog();
    configuration = new ConfigurationLog(log);
  }

  static ChangeRecord zone(String changeId, String name, String region, long base) {
    var object = new ConfigurationObject.AvailabilityZone(name, region);
    return new ChangeRecord(
        changeId,
        "ana",
        List.of(new ChangeRecord.Base(object.key(), base)),
        List.of(object),
        List.of());
  }

  private ChangeOutcome submit(ChangeRecord change) {
    return configuration.submit(ConfigurationState.empty(), change).block();
  }

  private boolean isAccepted(String changeId) {
    return configuration
        .read()
        .block()
        .get()
        .decision(changeId)
        .filter(ConfigurationState.ChangeDecision::isAccepted)
        .isPresent();
  }

  @Test
  public void acceptsChange() {
    assertEquals(submit(zone("c1", "z", "r", -1)), new ChangeOutcome.Accepted("c1", 0));
  }

  @Test
  public void resolvesLostAnswerByReadingTheLog() {
    log.appendFaults.add(FakeLog.Fault.ANSWER_LOST);
    assertEquals(submit(zone("c1", "z", "r", -1)), new ChangeOutcome.Accepted("c1", 0));
    assertEquals(log.appendCount, 1);
  }

  @Test
  public void resolvesLostAnswerOfRejectedChange() {
    submit(zone("c1", "z", "r", -1));
    log.appendFaults.add(FakeLog.Fault.ANSWER_LOST);
    assertTrue(submit(zone("c2", "z", "s", -1)) instanceof ChangeOutcome.Rejected);
  }

  @Test
  public void reportsNotAppendedForLostRequest() {
    log.appendFaults.add(FakeLog.Fault.REQUEST_LOST);
    assertTrue(submit(zone("c1", "z", "r", -1)) instanceof ChangeOutcome.NotAppended);
    assertFalse(isAccepted("c1"));
  }

  @Test
  public void withdrawalStopsDelayedChange() {
    log.appendFaults.add(FakeLog.Fault.APPENDED_LATE);
    assertTrue(submit(zone("c1", "z", "r", -1)) instanceof ChangeOutcome.NotAppended);
    assertEquals(log.records.size(), 2);
    assertFalse(isAccepted("c1"));
  }

  @Test
  public void reportsNotAppendedAtOnceWhenNothingWasSent() {
    log.appendFaults.add(FakeLog.Fault.NOT_SENT);
    assertTrue(submit(zone("c1", "z", "r", -1)) instanceof ChangeOutcome.NotAppended);
    assertEquals(log.appendCount, 1);
    assertTrue(log.records.isEmpty());
  }

  @Test
  public void reportsUnknownWhileLogIsDownAndFindsOutcomeLater() {
    log.appendFaults.add(FakeLog.Fault.ANSWER_LOST);
    log.readsToFail = Integer.MAX_VALUE;
    assertTrue(submit(zone("c1", "z", "r", -1)) instanceof ChangeOutcome.Unknown);
    log.readsToFail = 0;
    var found = configuration.lookUp(ConfigurationState.empty(), "c1").block().get();
    assertEquals(found.orElseThrow(), new ChangeOutcome.Accepted("c1", 0));
  }

  @Test
  public void retriesReadsDuringShortOutage() {
    log.appendFaults.add(FakeLog.Fault.ANSWER_LOST);
    log.readsToFail = 2;
    assertEquals(submit(zone("c1", "z", "r", -1)), new ChangeOutcome.Accepted("c1", 0));
  }

  @Test
  public void rejectsSecondOfTwoConcurrentChangesToOneObject() {
    ChangeOutcome first = submit(zone("c1", "z", "r", -1));
    ChangeOutcome second = submit(zone("c2", "z", "s", -1));
    assertEquals(first, new ChangeOutcome.Accepted("c1", 0));
    assertTrue(second instanceof ChangeOutcome.Rejected, second.toString());
  }

  @Test
  public void acceptsConcurrentChangesToDifferentObjects() {
    assertEquals(submit(zone("c1", "y", "r", -1)), new ChangeOutcome.Accepted("c1", 0));
    assertEquals(submit(zone("c2", "z", "r", -1)), new ChangeOutcome.Accepted("c2", 1));
  }

  @Test
  public void failsToReadExpiredRecordsWithoutSnapshot() {
    submit(zone("c1", "y", "r", -1));
    submit(zone("c2", "z", "r", -1));
    log.earliest = 1;
    assertTrue(configuration.read().block().isLeft());
  }
}
