package org.dragonflyhill.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.dragonflyhill.core.relay.PeerReport;
import org.testng.annotations.Test;

/** Tests the encoding of the load reports that nodes exchange. */
public final class PeerReportCodecTest {

  private static final PeerReport REPORT =
      new PeerReport(
          "front-1",
          17,
          4,
          true,
          false,
          Map.of("r1", new PeerReport.Load(3, List.of(0L, 12_000L), List.of(500L, 0L, 9L))),
          Set.of("r2"),
          Map.of("r1", 2L));

  @Test
  public void decodesWhatWasEncoded() {
    assertEquals(PeerReportCodec.decode(PeerReportCodec.encode(REPORT)).get(), REPORT);
  }

  /** Reports of nodes that run an older or newer version are rejected, not misread. */
  @Test
  public void refusesOtherSchema() {
    byte[] bytes = PeerReportCodec.encode(REPORT);
    bytes[0]++;
    assertTrue(PeerReportCodec.decode(bytes).getLeft().startsWith("schema "));
  }

  /** A truncated datagram is rejected, whatever its length. */
  @Test
  public void refusesTruncatedReport() {
    byte[] bytes = PeerReportCodec.encode(REPORT);
    for (int length = 0; length < bytes.length; length++) {
      assertTrue(PeerReportCodec.decode(Arrays.copyOf(bytes, length)).isLeft(), "at " + length);
    }
  }

  /** Decoding corrupted bytes returns an error or a report, but never throws an exception. */
  @Test
  public void decodesCorruptedReportWithoutException() {
    Random random = new Random(1);
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = PeerReportCodec.encode(REPORT);
      for (int flips = 1 + random.nextInt(4); flips > 0; flips--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      }
      PeerReportCodec.decode(bytes);
    }
  }
}
