package org.dragonflyhill.ports;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.dragonflyhill.core.ConfigurationState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link ConfigurationReplay}. */
public final class ConfigurationReplayTest {

  private static final int PAGE_RECORDS = 100;

  private final List<ConfigurationReplay.Skip> skipped = new ArrayList<>();
  private FakeLog log;

  /** Creates a log with three changes. */
  @BeforeMethod
  public void setUp() {
    skipped.clear();
    log = new FakeLog();
    addChange("c0", "a");
    addChange("c1", "b");
    addChange("c2", "c");
  }

  private void addChange(String id, String zone) {
    var change = ConfigurationLogTest.zone(id, zone, "r", -1);
    log.records.add(Json.write(new ConfigurationRecord.Change(1, change)));
  }

  private void addSnapshot(SerializedState serialized) {
    log.records.add(Json.write(serialized.toSnapshotRecord()));
  }

  private ConfigurationReplay newReplay() {
    return new ConfigurationReplay(
        ConfigurationState.empty(), (reason, offset, detail) -> skipped.add(reason));
  }

  private ConfigurationReplay replayLog() {
    ConfigurationReplay replay = newReplay();
    replay.apply(log.page(0, PAGE_RECORDS));
    return replay;
  }

  @Test
  public void readsSnapshotInPlaceOfExpiredRecords() {
    ConfigurationState stateBefore = replayLog().state();
    addSnapshot(SerializedState.of(stateBefore));
    addChange("c3", "d");
    ConfigurationState expected = replayLog().state();
    log.earliest = 3;
    ConfigurationReplay lateReader = replayLog();
    assertEquals(lateReader.state(), expected);
    assertTrue(lateReader.problem().isEmpty());
  }

  @Test
  public void appliesChangesAfterSnapshotStateAndBeforeItsRecord() {
    ConfigurationState stateBefore = replayLog().state();
    addChange("c3", "d");
    addSnapshot(SerializedState.of(stateBefore));
    ConfigurationState expected = replayLog().state();
    log.earliest = 3;
    assertEquals(replayLog().state(), expected);
  }

  @Test
  public void buffersChangesWhileRecordsAreMissing() {
    log.earliest = 1;
    ConfigurationReplay lateReader = replayLog();
    assertEquals(lateReader.state(), ConfigurationState.empty());
    assertTrue(lateReader.problem().orElseThrow() instanceof ConfigurationReplay.Problem.Expired);
  }

  @Test
  public void buffersChangesWhenMoreRecordsExpireDuringTheGap() {
    final ConfigurationState stateBefore = replayLog().state();
    addChange("c3", "d");
    addChange("c4", "e");
    log.earliest = 1;
    ConfigurationReplay lateReader = newReplay();
    lateReader.apply(log.page(0, 1));
    log.earliest = 4;
    lateReader.apply(log.page(2, PAGE_RECORDS));
    assertFalse(lateReader.adopt(SerializedState.of(ConfigurationState.empty())));
    lateReader.adopt(SerializedState.of(stateBefore));
    assertTrue(lateReader.problem().isPresent());
    assertEquals(lateReader.state(), stateBefore);
  }

  @Test
  public void skipsDamagedSnapshot() {
    SerializedState intact = SerializedState.of(replayLog().state());
    addSnapshot(
        new SerializedState(
            1, intact.through(), intact.text().replace("\"b\"", "\"x\""), intact.digest()));
    log.earliest = 3;
    ConfigurationReplay lateReader = replayLog();
    assertEquals(skipped, List.of(ConfigurationReplay.Skip.DAMAGED_SNAPSHOT));
    assertTrue(lateReader.problem().isPresent());
    assertEquals(lateReader.state(), ConfigurationState.empty());
  }

  @Test
  public void skipsSnapshotThatDoesNotCoverTheGap() {
    ConfigurationReplay earlyReader = newReplay();
    earlyReader.apply(log.page(0, 1));
    addSnapshot(SerializedState.of(earlyReader.state()));
    log.earliest = 3;
    ConfigurationReplay lateReader = replayLog();
    assertTrue(lateReader.problem().isPresent());
    assertEquals(lateReader.state(), ConfigurationState.empty());
    assertEquals(skipped, List.of(ConfigurationReplay.Skip.OLD_SNAPSHOT));
  }

  @Test
  public void neverGoesBackToAnOlderState() {
    ConfigurationReplay earlyReader = newReplay();
    earlyReader.apply(log.page(0, 1));
    SerializedState old = SerializedState.of(earlyReader.state());
    ConfigurationReplay lateReader = replayLog();
    assertFalse(lateReader.adopt(old));
    assertEquals(lateReader.state().version(), 2);
    assertEquals(skipped, List.of(ConfigurationReplay.Skip.OLD_SNAPSHOT));
  }

  @Test
  public void stopsBeforeRecordOfNewerSchemaAndKeepsItsState() {
    log.records.add("{\"schema\":2,\"type\":\"quota\"}");
    addChange("c4", "e");
    ConfigurationReplay replay = replayLog();
    assertEquals(replay.state().throughOffset(), 2);
    assertTrue(replay.problem().orElseThrow() instanceof ConfigurationReplay.Problem.NewerSchema);
    assertEquals(skipped, List.of(ConfigurationReplay.Skip.NEWER_SCHEMA));
  }

  @Test
  public void ignoresUnknownFields() {
    log.records.set(1, log.records.get(1).replaceFirst("\\{", "{\"note\":\"new\","));
    assertEquals(replayLog().state().version(), 2);
  }

  @Test
  public void skipsUnreadableRecord() {
    log.records.add("not a record");
    ConfigurationReplay replay = replayLog();
    assertEquals(replay.state().throughOffset(), 3);
    assertEquals(skipped, List.of(ConfigurationReplay.Skip.UNREADABLE));
  }

  @Test
  public void reachesSameStateFromPeerStateAndLaterRecords() {
    ConfigurationReplay fromPeer = newReplay();
    assertTrue(fromPeer.adopt(SerializedState.of(replayLog().state())));
    addChange("c3", "d");
    fromPeer.apply(log.page(fromPeer.state().throughOffset() + 1, PAGE_RECORDS));
    assertEquals(fromPeer.state(), replayLog().state());
  }

  @Test
  public void reportsLogThatEndsBeforeItsState() {
    ConfigurationReplay replay = replayLog();
    replay.apply(new LogPort.Page(0, 1, List.of()));
    assertEquals(replay.state().throughOffset(), 2);
    assertTrue(replay.problem().orElseThrow() instanceof ConfigurationReplay.Problem.LogBehind);
  }
}
