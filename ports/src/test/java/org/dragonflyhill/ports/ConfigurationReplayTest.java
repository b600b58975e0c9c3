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

  private static final int PAGE = 100;

  private final List<ConfigurationReplay.Skip> skipped = new ArrayList<>();
  private FakeLog log;

  /** Starts with three changes in the log. */
  @BeforeMethod
  public void start() {
    skipped.clear();
    log = new FakeLog();
    change("c0", "a");
    change("c1", "b");
    change("c2", "c");
  }

  private void change(String id, String zone) {
    var change = ConfigurationLogTest.zone(id, zone, "r", -1);
    log.records.add(Json.write(new ConfigurationRecord.Change(1, change)));
  }

  private void add(StateText text) {
    log.records.add(Json.write(text.snapshot()));
  }

  private ConfigurationReplay replay() {
    return new ConfigurationReplay(
        ConfigurationState.empty(), (reason, offset, detail) -> skipped.add(reason));
  }

  private ConfigurationReplay replayed() {
    ConfigurationReplay replay = replay();
    replay.take(log.page(0, PAGE));
    return replay;
  }

  @Test
  public void readsSnapshotInPlaceOfExpiredRecords() {
    ConfigurationState before = replayed().state();
    add(StateText.of(before));
    change("c3", "d");
    ConfigurationState whole = replayed().state();
    log.earliest = 3;
    ConfigurationReplay late = replayed();
    assertEquals(late.state(), whole);
    assertTrue(late.problem().isEmpty());
  }

  @Test
  public void foldsChangesBetweenSnapshotAndItsRecord() {
    ConfigurationState before = replayed().state();
    change("c3", "d");
    add(StateText.of(before));
    ConfigurationState whole = replayed().state();
    log.earliest = 3;
    assertEquals(replayed().state(), whole);
  }

  @Test
  public void keepsBackChangesWhileRecordsAreMissing() {
    log.earliest = 1;
    ConfigurationReplay late = replayed();
    assertEquals(late.state(), ConfigurationState.empty());
    assertTrue(late.problem().orElseThrow() instanceof ConfigurationReplay.Problem.Expired);
  }

  @Test
  public void keepsBackChangesWhenMoreRecordsExpireDuringTheGap() {
    final ConfigurationState before = replayed().state();
    change("c3", "d");
    change("c4", "e");
    log.earliest = 1;
    ConfigurationReplay late = replay();
    late.take(log.page(0, 1));
    log.earliest = 4;
    late.take(log.page(2, PAGE));
    assertFalse(late.adopt(StateText.of(ConfigurationState.empty())));
    late.adopt(StateText.of(before));
    assertTrue(late.problem().isPresent());
    assertEquals(late.state(), before);
  }

  @Test
  public void skipsDamagedSnapshot() {
    StateText intact = StateText.of(replayed().state());
    add(
        new StateText(
            1, intact.through(), intact.text().replace("\"b\"", "\"x\""), intact.digest()));
    log.earliest = 3;
    ConfigurationReplay late = replayed();
    assertEquals(skipped, List.of(ConfigurationReplay.Skip.DAMAGED_SNAPSHOT));
    assertTrue(late.problem().isPresent());
    assertEquals(late.state(), ConfigurationState.empty());
  }

  @Test
  public void skipsSnapshotThatDoesNotCoverTheGap() {
    ConfigurationReplay early = replay();
    early.take(log.page(0, 1));
    add(StateText.of(early.state()));
    log.earliest = 3;
    ConfigurationReplay late = replayed();
    assertTrue(late.problem().isPresent());
    assertEquals(late.state(), ConfigurationState.empty());
    assertEquals(skipped, List.of(ConfigurationReplay.Skip.OLD_SNAPSHOT));
  }

  @Test
  public void neverGoesBackToAnOlderState() {
    ConfigurationReplay early = replay();
    early.take(log.page(0, 1));
    StateText old = StateText.of(early.state());
    ConfigurationReplay late = replayed();
    assertFalse(late.adopt(old));
    assertEquals(late.state().version(), 2);
    assertEquals(skipped, List.of(ConfigurationReplay.Skip.OLD_SNAPSHOT));
  }

  @Test
  public void stopsBeforeRecordOfNewerSchemaAndKeepsItsState() {
    log.records.add("{\"schema\":2,\"type\":\"quota\"}");
    change("c4", "e");
    ConfigurationReplay replay = replayed();
    assertEquals(replay.state().throughOffset(), 2);
    assertTrue(replay.problem().orElseThrow() instanceof ConfigurationReplay.Problem.NewerSchema);
    assertEquals(skipped, List.of(ConfigurationReplay.Skip.NEWER_SCHEMA));
  }

  @Test
  public void ignoresUnknownFields() {
    log.records.set(1, log.records.get(1).replaceFirst("\\{", "{\"note\":\"new\","));
    assertEquals(replayed().state().version(), 2);
  }

  @Test
  public void skipsUnreadableRecord() {
    log.records.add("not a record");
    ConfigurationReplay replay = replayed();
    assertEquals(replay.state().throughOffset(), 3);
    assertEquals(skipped, List.of(ConfigurationReplay.Skip.UNREADABLE));
  }

  @Test
  public void foldsStateOfPeerAndItsTailAlike() {
    ConfigurationReplay cold = replay();
    assertTrue(cold.adopt(StateText.of(replayed().state())));
    change("c3", "d");
    cold.take(log.page(cold.state().throughOffset() + 1, PAGE));
    assertEquals(cold.state(), replayed().state());
  }

  @Test
  public void saysWhenTheLogEndsBeforeItsState() {
    ConfigurationReplay replay = replayed();
    replay.take(new LogPort.Page(0, 1, List.of()));
    assertEquals(replay.state().throughOffset(), 2);
    assertTrue(replay.problem().orElseThrow() instanceof ConfigurationReplay.Problem.LogBehind);
  }
}
