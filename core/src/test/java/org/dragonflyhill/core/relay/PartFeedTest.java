package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import org.testng.annotations.Test;

/** Order and completeness of the part changes that a node gets from a peer. */
public final class PartFeedTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final Endpoint STORE = new Endpoint("10.9.0.1", 80);

  private static PartChange change(int i) {
    return new PartChange.Stored(STORE, "m@1", "p" + i, i + 1);
  }

  private static PartFeed.Changes changes(long incarnation, int from, int to) {
    List<PartChange> list = new ArrayList<>();
    for (int i = from; i < to; i++) {
      list.add(change(i));
    }
    return new PartFeed.Changes(incarnation, from, list);
  }

  /** Repeated changes are applied once. */
  @Test
  public void skipsWhatIsKnown() {
    PartFeed feed = new PartFeed();
    assertEquals(feed.accept(changes(1, 0, 3)).size(), 3);
    assertEquals(feed.accept(changes(1, 1, 5)), List.of(change(3), change(4)));
    assertEquals(feed.accept(changes(1, 0, 5)), List.of());
  }

  /** A lost datagram: later changes wait until the missing ones were sent again. */
  @Test
  public void requestsLostChangesOnce() {
    PartFeed feed = new PartFeed();
    feed.accept(changes(1, 0, 3));
    assertEquals(feed.accept(changes(1, 5, 8)), List.of());
    assertEquals(feed.missingFrom(1, 8, NOW), OptionalLong.empty());
    Instant lostAt = NOW.plus(PartFeed.REORDERING_TIME);
    assertEquals(feed.missingFrom(1, 8, lostAt), OptionalLong.of(3));
    assertEquals(feed.missingFrom(1, 8, lostAt.plusMillis(399)), OptionalLong.empty());
    assertEquals(feed.missingFrom(1, 8, lostAt.plusMillis(400)), OptionalLong.of(3));
    assertEquals(feed.accept(changes(1, 3, 5)).size(), 5);
    assertEquals(feed.missingFrom(1, 8, NOW.plusSeconds(1)), OptionalLong.empty());
  }

  /** Datagrams that overtake each other: nothing is requested again, and all apply in order. */
  @Test
  public void putsOvertakingChangesInOrder() {
    PartFeed feed = new PartFeed();
    feed.accept(changes(1, 0, 1));
    assertEquals(feed.accept(changes(1, 3, 5)), List.of());
    assertEquals(feed.missingFrom(1, 6, NOW), OptionalLong.empty());
    assertEquals(feed.accept(changes(1, 5, 6)), List.of());
    assertEquals(
        feed.accept(changes(1, 1, 3)),
        List.of(change(1), change(2), change(3), change(4), change(5)));
    assertEquals(feed.missingFrom(1, 6, NOW.plusSeconds(1)), OptionalLong.empty());
  }

  /** A node that starts late, or whose peer was restarted, asks for everything. */
  @Test
  public void requestsSnapshotOfUnknownPeer() {
    PartFeed feed = new PartFeed();
    assertEquals(feed.accept(changes(1, 40, 42)), List.of());
    assertEquals(feed.missingFrom(1, 42, NOW), OptionalLong.of(PartFeed.SNAPSHOT));
    List<PartChange> piece = List.of(change(1));
    assertEquals(feed.accept(new PartFeed.Snapshot(1, 42, 0, 2, piece)), piece);
    assertEquals(feed.accept(changes(1, 42, 44)), List.of());
    assertEquals(feed.accept(new PartFeed.Snapshot(1, 42, 1, 2, piece)).size(), 3);
    assertEquals(feed.accept(changes(1, 44, 46)).size(), 2);
    assertEquals(feed.missingFrom(2, 9, NOW.plusMillis(10)), OptionalLong.of(PartFeed.SNAPSHOT));
  }

  /** A snapshot with a lost piece does not count as complete. */
  @Test
  public void incompleteSnapshotIsRequestedAgain() {
    PartFeed feed = new PartFeed();
    feed.accept(new PartFeed.Snapshot(1, 42, 0, 3, List.of(change(1))));
    assertEquals(feed.accept(new PartFeed.Snapshot(1, 42, 2, 3, List.of(change(2)))), List.of());
    assertEquals(feed.missingFrom(1, 42, NOW), OptionalLong.of(PartFeed.SNAPSHOT));
  }

  /** Peers that missed more than is kept get a snapshot. */
  @Test
  public void logKeepsLatestChanges() {
    PartChangeLog log = new PartChangeLog();
    for (int i = 0; i < PartChangeLog.CAPACITY + 10; i++) {
      log.append(change(i));
    }
    assertTrue(log.since(9).isEmpty());
    assertEquals(log.since(10).orElseThrow().size(), PartChangeLog.CAPACITY);
    assertEquals(log.since(log.nextSequence()).orElseThrow(), List.of());
    assertTrue(log.since(log.nextSequence() + 1).isEmpty());
  }

  /** With datagrams lost, doubled and delayed, the receiver ends with the sender's entries. */
  @Test
  public void convergesOnLossyNetwork() {
    for (int seed = 0; seed < 50; seed++) {
      Random random = new Random(seed);
      PartChangeLog log = new PartChangeLog();
      PartDirectory sent = new PartDirectory();
      PartDirectory received = new PartDirectory();
      PartFeed feed = new PartFeed();
      long sentThrough = 0;
      List<PartFeed.Changes> delayed = new ArrayList<>();
      for (int tick = 0; tick < 300; tick++) {
        Instant now = NOW.plusMillis(tick * 150L);
        if (tick < 250) {
          PartChange change =
              random.nextInt(40) == 0
                  ? new PartChange.Cleared(STORE)
                  : new PartChange.Stored(
                      STORE, "m@1", "p" + random.nextInt(20), random.nextInt(3));
          sent.apply(change, now);
          log.append(change);
        }
        var fresh = new PartFeed.Changes(7, sentThrough, log.since(sentThrough).orElseThrow());
        sentThrough = log.nextSequence();
        boolean isLossy = tick < 250;
        if (isLossy && random.nextInt(4) == 0) {
          delayed.add(fresh);
        } else if (!isLossy || random.nextInt(3) > 0) {
          feed.accept(fresh).forEach(each -> received.apply(each, now));
        }
        if (!delayed.isEmpty() && random.nextInt(2) == 0) {
          feed.accept(delayed.removeFirst()).forEach(each -> received.apply(each, now));
        }
        OptionalLong missing = feed.missingFrom(7, log.nextSequence(), now);
        if (missing.isPresent() && (!isLossy || random.nextInt(3) > 0)) {
          List<PartChange> again = log.since(Math.max(0, missing.getAsLong())).orElseThrow();
          feed.accept(new PartFeed.Changes(7, Math.max(0, missing.getAsLong()), again))
              .forEach(each -> received.apply(each, now));
        }
      }
      for (int i = 0; i < 20; i++) {
        String part = "p" + i;
        assertEquals(
            received.tokens(STORE, "m@1", part), sent.tokens(STORE, "m@1", part), "seed " + seed);
      }
      assertEquals(received.contents(STORE).size(), sent.contents(STORE).size());
    }
  }

  /** The time between two messages follows the number of peers; the messages per tick do not. */
  @Test
  public void messagesPerTickAreBounded() {
    for (PeerSchedule schedule : PeerSchedule.values()) {
      for (int count : new int[] {1, 4, 20, 21, 37, 299}) {
        List<Integer> peers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          peers.add(i);
        }
        List<Integer> reached = new ArrayList<>();
        for (long tick = 100; tick < 100 + schedule.groups(count); tick++) {
          List<Integer> due = schedule.due(peers, tick);
          assertTrue(due.size() <= schedule.peersPerTick(), "due " + due.size());
          reached.addAll(due);
        }
        assertEquals(reached.stream().sorted().toList(), peers, "each peer once");
      }
    }
    assertEquals(PeerSchedule.REPORTS.period(4), Duration.ofMillis(150));
    assertEquals(PeerSchedule.REPORTS.period(37), Duration.ofMillis(300));
    assertEquals(PeerSchedule.PART_CHANGES.period(4), Duration.ofMillis(30));
    assertEquals(PeerSchedule.PART_CHANGES.period(37), Duration.ofMillis(300));
  }

  /** A load counts for four report periods, so that it does not vanish between two reports. */
  @Test
  public void loadOutlastsReportPeriodOfManyPeers() {
    PeerTable peers = new PeerTable();
    for (int i = 0; i < 299; i++) {
      peers.update(
          PeerReports.withLoads("n" + i, Map.of("r", new PeerReport.Load(1, List.of(), List.of()))),
          NOW);
    }
    Instant nextReport = NOW.plus(PeerSchedule.REPORTS.period(299));
    assertEquals(peers.running("r", nextReport), 299);
    assertEquals(peers.livePeers(nextReport).size(), 299);
    assertEquals(peers.running("r", NOW.plusSeconds(10)), 0);
  }
}
