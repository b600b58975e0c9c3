package org.dragonflyhill.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.dragonflyhill.core.relay.CrashReport;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.PartChange;
import org.dragonflyhill.core.relay.PartFeed;
import org.dragonflyhill.core.relay.PeerReport;
import org.dragonflyhill.core.relay.RateLimitReport;
import org.dragonflyhill.core.relay.StreamOrigin;
import org.dragonflyhill.core.relay.TopicProgress;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the encoding of the datagrams that nodes exchange. */
public final class PeerDatagramCodecTest {

  private static final int FRAME_BYTES = 1_200;
  private static final Duration AGE = Duration.ofMillis(30);
  private static final Endpoint RUNNER = new Endpoint("10.0.0.1", 8_080);
  private static final List<PartChange> CHANGES =
      List.of(
          new PartChange.Cleared(RUNNER),
          new PartChange.Expected(RUNNER, "m@2", "e4402b7d"),
          new PartChange.Stored(RUNNER, "m@1", "5c1e07a2", 800),
          new PartChange.Stored(new Endpoint("10.0.0.2", 8_080), "m@2#granja", "91bd3f06", 0));

  private static final PeerReport REPORT =
      new PeerReport(
          "front-1",
          "z1",
          17,
          4,
          true,
          false,
          Map.of("r1", new PeerReport.Load(3, List.of(0L, 12_000L), List.of(500L, 0L, 9L))),
          Set.of("r2"),
          Map.of("r3", 1_700_000_000_123L),
          Map.of("r1", 2L),
          Map.of("m", Map.of(2L, Duration.ofMillis(1_500))),
          Map.of(RUNNER, Duration.ofMillis(90)),
          77,
          List.of(
              new TopicProgress(
                  "t",
                  0,
                  4,
                  9,
                  Duration.ofMillis(30),
                  List.of(new TopicProgress.Entry(5, "k", new byte[] {1, 2}))),
              new TopicProgress("operator", 3, 4, 9, Duration.ofMillis(30), List.of())),
          OptionalLong.of(123_456),
          new CrashReport(
              Map.of("m/bad0", Map.of("i-1@17", Duration.ofMillis(40))),
              Map.of("request:c0ffee", Map.of("i-1@17", Duration.ofMillis(90))),
              Map.of("m/c0", Duration.ofMillis(7))),
          Map.of("s", 17.5),
          Map.of(
              "r1",
              new RateLimitReport(17, OptionalDouble.of(3.7), Duration.ofMillis(20)),
              "r2",
              new RateLimitReport(18, OptionalDouble.empty(), Duration.ofMillis(30))));

  /** One datagram of each kind. */
  @DataProvider
  public Object[][] datagrams() {
    return new Object[][] {
      {new PeerDatagram.Report(REPORT)},
      {new PeerDatagram.Changes("front-1", new PartFeed.Changes(17, 70, CHANGES))},
      {new PeerDatagram.Snapshot("front-1", new PartFeed.Snapshot(17, 77, 0, 2, CHANGES))},
      {new PeerDatagram.Resend("front-1", PartFeed.SNAPSHOT)},
      {
        new PeerDatagram.StreamsBegun(
            "front-1",
            Map.of(
                "7f3a", new StreamOrigin("s", "v1.2", "granja"), "", new StreamOrigin("", "", "")))
      },
      {new PeerDatagram.OutOfReach("front-1", Set.of("s", "t"))},
      {new PeerDatagram.StreamQuery("front-1", "7f3a")},
      {new PeerDatagram.StreamUnknown("front-1", "7f3a")},
    };
  }

  @Test(dataProvider = "datagrams")
  public void decodesWhatWasEncoded(PeerDatagram datagram) {
    assertEquals(PeerDatagramCodec.decode(PeerDatagramCodec.encode(datagram)).get(), datagram);
  }

  /** A full list of changes fits into one frame of the network. */
  @Test
  public void changesFitIntoOneFrame() {
    List<PartChange> changes = new ArrayList<>();
    for (int i = 0; i < PeerGossip.MAX_CHANGES_PER_DATAGRAM; i++) {
      Endpoint holder = new Endpoint("10.250.64." + (i % 8), 18_080);
      String part = String.format("%08x", i * 0x9E3779B9);
      changes.add(new PartChange.Stored(holder, "daka510000@" + i % 3, part, 9_000));
    }
    var datagram =
        new PeerDatagram.Changes(
            "front-san-fernando-1", new PartFeed.Changes(1L << 41, 1, changes));
    int length = PeerDatagramCodec.encode(datagram).length;
    assertTrue(length <= FRAME_BYTES, "length " + length);
  }

  /** Datagrams of nodes that run an older or newer version are rejected, not misread. */
  @Test(dataProvider = "datagrams")
  public void refusesOtherSchema(PeerDatagram datagram) {
    byte[] bytes = PeerDatagramCodec.encode(datagram);
    bytes[0]++;
    assertTrue(PeerDatagramCodec.decode(bytes).getLeft().startsWith("schema "));
  }

  /** A truncated datagram is rejected, whatever its length. */
  @Test(dataProvider = "datagrams")
  public void refusesTruncatedDatagram(PeerDatagram datagram) {
    byte[] bytes = PeerDatagramCodec.encode(datagram);
    for (int length = 0; length < bytes.length; length++) {
      assertTrue(PeerDatagramCodec.decode(Arrays.copyOf(bytes, length)).isLeft(), "at " + length);
    }
  }

  /** Decoding corrupted bytes returns an error or a datagram, but never throws an exception. */
  @Test(dataProvider = "datagrams")
  public void decodesCorruptedDatagramWithoutException(PeerDatagram datagram) {
    Random random = new Random(1);
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = PeerDatagramCodec.encode(datagram);
      for (int flips = 1 + random.nextInt(4); flips > 0; flips--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      }
      PeerDatagramCodec.decode(bytes);
    }
  }

  /**
   * Nodes of the release before know no epochs: they must read what nodes report of the first epoch
   * and must not rely on what they report of a later one. That release reads the name of the topic
   * as the whole text, and ignores topics that it does not know.
   */
  @Test
  public void namesEpochWhereReleasesBeforeIgnoreIt() {
    for (long epoch : new long[] {0, 2}) {
      String name = epoch == 0 ? "operator" : "operator@2";
      PeerReport report = reportOf(new TopicProgress("operator", epoch, 4, 9, AGE, List.of()));
      byte[] encoded = PeerDatagramCodec.encode(new PeerDatagram.Report(report));
      PeerReport asBefore = reportOf(new TopicProgress(name, 0, 4, 9, AGE, List.of()));
      assertEquals(encoded, PeerDatagramCodec.encode(new PeerDatagram.Report(asBefore)));
      assertEquals(
          PeerDatagramCodec.decode(encoded).get(), new PeerDatagram.Report(report), "read back");
    }
  }

  private static PeerReport reportOf(TopicProgress progress) {
    return new PeerReport(
        REPORT.node(),
        REPORT.zone(),
        REPORT.incarnation(),
        REPORT.sequence(),
        REPORT.isLogReachable(),
        REPORT.isStopping(),
        Map.of(),
        Set.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        0,
        List.of(progress),
        OptionalLong.empty(),
        CrashReport.EMPTY,
        Map.of(),
        Map.of());
  }
}
