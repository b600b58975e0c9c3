package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests where streams that callers take up go on, and what nodes know for that. */
public final class StreamContinuationTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final StreamOrigin ORIGIN = new StreamOrigin("s", "v1", "granja");
  private static final StreamOrigin SOLE = new StreamOrigin("s", "v2", "granja");
  private static final String ANEW = "Anew";
  private static final String AT_ORIGIN = "v1";
  private static final String AT_SOLE = "v2";
  private static final String REFUSED = "Refused";

  /** Whether events were received, known origin, sole origin, organisation, services, decision. */
  @DataProvider
  public Object[][] cases() {
    Optional<StreamOrigin> known = Optional.of(ORIGIN);
    Optional<StreamOrigin> sole = Optional.of(SOLE);
    Optional<StreamOrigin> none = Optional.empty();
    return new Object[][] {
      {true, known, none, "granja", List.of("s"), AT_ORIGIN},
      {false, known, none, "granja", List.of("s"), AT_ORIGIN},
      {true, known, sole, "granja", List.of("s"), AT_ORIGIN},
      {true, known, none, "granja", List.of("t", "s"), AT_ORIGIN},
      {true, known, none, "granja", List.of("t"), REFUSED},
      {true, known, sole, "other", List.of("s"), REFUSED},
      {true, none, none, "granja", List.of("s"), REFUSED},
      {true, none, sole, "granja", List.of("s"), AT_SOLE},
      {false, none, none, "granja", List.of("s"), ANEW},
      {false, none, sole, "granja", List.of("s"), ANEW},
    };
  }

  /** A stream goes on at the version that began it, or not at all. */
  @Test(dataProvider = "cases")
  public void goesOnOnlyAtKnownVersion(
      boolean hasEvents,
      Optional<StreamOrigin> known,
      Optional<StreamOrigin> sole,
      String organisation,
      List<String> services,
      String expected) {
    String decided =
        switch (StreamContinuation.decide(hasEvents, known, sole, organisation, services)) {
          case StreamContinuation.Anew anew -> ANEW;
          case StreamContinuation.GoOn goOn -> goOn.origin().softwareVersion();
          case StreamContinuation.Refused refused -> REFUSED;
        };
    assertEquals(decided, expected);
  }

  /** A stream that began at a process of uncertain version goes on nowhere. */
  @Test
  public void bindingPermitsOnlyTheSameVersion() {
    StreamBinding binding = new StreamBinding();
    assertTrue(binding.permits(Optional.of("v1")) && binding.permits(Optional.empty()));
    binding.bind(Optional.of(ORIGIN));
    assertTrue(binding.permits(Optional.of("v1")));
    assertFalse(binding.permits(Optional.of("v2")) || binding.permits(Optional.empty()));
    StreamBinding uncertain = new StreamBinding();
    uncertain.bind(Optional.empty());
    assertFalse(uncertain.permits(Optional.of("v1")) || uncertain.permits(Optional.empty()));
  }

  /** The first origin holds, and what is kept is bounded in time and number. */
  @Test
  public void originsAreBounded() {
    StreamOrigins origins = new StreamOrigins();
    assertTrue(origins.record("a", ORIGIN, "this node", NOW));
    assertFalse(origins.record("a", SOLE, "node n2", NOW));
    assertEquals(origins.find("a", NOW).map(StreamOrigins.Known::origin), Optional.of(ORIGIN));
    Instant later = NOW.plus(StreamOrigins.RETENTION).plusMillis(1);
    assertTrue(origins.find("a", later).isEmpty());
    for (int i = 0; i < 2 * StreamOrigins.MAX_ORIGINS; i++) {
      origins.record("b" + i, ORIGIN, "this node", later);
    }
    assertEquals(origins.size(), StreamOrigins.MAX_ORIGINS);
    assertTrue(origins.find("b" + (2 * StreamOrigins.MAX_ORIGINS - 1), later).isPresent());
  }

  /** The nodes that know a stream are in two zones, and every node ranks them alike. */
  @Test
  public void holdersAreInTwoZones() {
    List<HolderAssignment.Peer> peers = new ArrayList<>();
    for (int i = 0; i < 61; i++) {
      peers.add(new HolderAssignment.Peer("n" + i, "z" + i % 3));
    }
    Map<String, String> zones = new HashMap<>();
    peers.forEach(peer -> zones.put(peer.node(), peer.zone()));
    for (int i = 0; i < 500; i++) {
      List<String> ranked = StreamOriginHolders.rank("attempt" + i, peers);
      assertEquals(ranked.size(), peers.size());
      Set<String> holderZones = new HashSet<>();
      ranked.subList(0, StreamOriginHolders.HOLDERS).forEach(n -> holderZones.add(zones.get(n)));
      assertTrue(holderZones.size() >= 2);
      assertEquals(StreamOriginHolders.rank("attempt" + i, peers.reversed()), ranked);
    }
  }

  private static RunnerInfo info(String id, String version, long startedAtMillis) {
    return new RunnerInfo(
        id,
        "s",
        new Endpoint("10.0.0.1", 80),
        "z1",
        8,
        false,
        Map.of(),
        Optional.of(version),
        startedAtMillis);
  }

  /** The version of a process that may have been replaced is not certain until it is listed. */
  @Test
  public void versionIsUncertainAfterFailedConnections() {
    RunnerTable table = new RunnerTable();
    table.put(info("r", "v1", 1), NOW);
    Runner runner = table.find("r").orElseThrow();
    assertEquals(table.softwareVersion(runner, true, NOW), Optional.of("v1"));
    runner.eject(NOW);
    assertEquals(table.softwareVersion(runner, true, NOW), Optional.empty());
    Instant listed = NOW.plus(RunnerTable.RESTART_LISTING_TIME);
    assertEquals(table.softwareVersion(runner, false, listed), Optional.empty());
    assertEquals(table.softwareVersion(runner, true, listed), Optional.of("v1"));
    table.hostListRestored(listed);
    assertEquals(table.softwareVersion(runner, true, listed), Optional.empty());
    table.put(info("r", "v2", 2), listed);
    assertEquals(table.softwareVersion(runner, true, listed), Optional.empty());
    assertEquals(
        table.softwareVersion(table.find("r").orElseThrow(), true, listed), Optional.of("v2"));
  }

  /** A version is the only one if no other was listed for as long as callers may return. */
  @Test
  public void soleVersionOutlastsStreams() {
    Duration time = Duration.ofSeconds(18);
    RunnerTable table = new RunnerTable();
    table.put(info("r1", "v1", 1), NOW);
    assertEquals(table.soleSoftwareVersion("s", time, NOW), Optional.empty());
    Instant later = NOW.plus(time);
    table.recordCurrent(later);
    assertEquals(table.soleSoftwareVersion("s", time, later), Optional.of("v1"));
    table.put(info("r2", "v2", 1), later);
    assertEquals(table.soleSoftwareVersion("s", time, later), Optional.empty());
    table.remove("r1", later);
    assertEquals(table.soleSoftwareVersion("s", time, later), Optional.empty());
    Instant muchLater = later.plus(time).plus(Duration.ofMillis(1));
    table.recordCurrent(muchLater);
    assertEquals(table.soleSoftwareVersion("s", time, muchLater), Optional.of("v2"));
    Duration tooLong = SoftwareVersions.MEMORY.plusMillis(1);
    table.recordCurrent(muchLater.plus(tooLong));
    assertEquals(
        table.soleSoftwareVersion("s", tooLong, muchLater.plus(tooLong)), Optional.empty());
  }

  /**
   * Guards against a stream that goes on at another version: a node that was suspended, or cut off,
   * has not seen that runners of a new version joined meanwhile, where the stream began.
   */
  @Test
  public void staleHostListHasNoSoleVersion() {
    Duration time = Duration.ofSeconds(18);
    RunnerTable table = new RunnerTable();
    table.put(info("r1", "v1", 1), NOW);
    Instant later = NOW.plus(time);
    table.recordCurrent(later);
    Instant limit = later.plus(RunnerTable.MAX_AGE);
    assertEquals(table.soleSoftwareVersion("s", time, limit), Optional.of("v1"));
    assertEquals(table.soleSoftwareVersion("s", time, limit.plusMillis(1)), Optional.empty());
    table.recordCurrent(NOW);
    assertEquals(table.soleSoftwareVersion("s", time, limit), Optional.of("v1"), "overtaken read");
    table.recordCurrent(limit);
    assertEquals(table.soleSoftwareVersion("s", time, limit.plusMillis(1)), Optional.of("v1"));
  }
}
