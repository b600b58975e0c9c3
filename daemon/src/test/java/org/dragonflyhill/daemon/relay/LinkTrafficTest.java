package org.dragonflyhill.daemon.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Instant;
import org.dragonflyhill.daemon.NodeMetrics;
import org.testng.annotations.Test;

/** Tests the count of bytes on a node's network link. */
public final class LinkTrafficTest {

  private static final Instant START = Instant.EPOCH;
  private static final int BANDWIDTH = 1_000;

  private final NodeMetrics metrics = new NodeMetrics();
  private final DecisionLog log = new DecisionLog(() -> START);
  private final LinkTraffic traffic = new LinkTraffic(metrics, log, START);

  private void transfer(LinkTraffic.Purpose purpose, int received, int sent) {
    EmbeddedChannel channel = new EmbeddedChannel(traffic.counter(purpose));
    channel.writeInbound(Unpooled.wrappedBuffer(new byte[received]));
    channel.writeOutbound(Unpooled.wrappedBuffer(new byte[sent]));
    channel.finishAndReleaseAll();
  }

  /** Guards against a link that is full for seconds without a trace in log and metrics. */
  @Test
  public void countsByPurposeAndLogsBusySeconds() {
    traffic.useBandwidth(BANDWIDTH);
    transfer(LinkTraffic.Purpose.CONTROL, 500, 20);
    transfer(LinkTraffic.Purpose.CALLERS, 30, 40);
    traffic.record(START.plusSeconds(1));
    assertEquals(metrics.counterValue("traffic.control.received_bytes"), 500);
    assertEquals(metrics.counterValue("traffic.control.sent_bytes"), 20);
    assertEquals(metrics.counterValue("traffic.callers.received_bytes"), 30);
    assertEquals(metrics.counterValue("traffic.callers.sent_bytes"), 40);
    assertEquals(log.totals().get("link_busy"), Long.valueOf(1));
    transfer(LinkTraffic.Purpose.CONTROL, 100, 0);
    traffic.record(START.plusSeconds(2));
    assertEquals(log.totals().get("link_busy"), Long.valueOf(1));
  }

  /** Without a known bandwidth no share can be told, but the bytes are counted. */
  @Test
  public void countsWithoutKnownBandwidth() {
    DecisionLog unknownLog = new DecisionLog(() -> START);
    LinkTraffic unknown = new LinkTraffic(new NodeMetrics(), unknownLog, START);
    unknown.counter(LinkTraffic.Purpose.PEER_REPORTS).addReceived(1_000_000);
    unknown.record(START.plusSeconds(3));
    assertNull(unknownLog.totals().get("link_busy"));
  }
}
