package org.dragonflyhill.daemon.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.PeerReport;
import org.dragonflyhill.core.relay.Runner;

/**
 * Sends reports of this node's load to the other nodes several times a second and receives theirs.
 *
 * <p>Reports are sent as UDP datagrams. Lost ones are not resent, since the next one replaces them.
 */
public final class PeerGossip implements AutoCloseable {

  private static final Duration INTERVAL = Duration.ofMillis(150);

  private final RelayState state;
  private final String node;
  private final long incarnation;
  private final Endpoint ownAddress;
  private final Channel channel;
  private final Map<String, Endpoint> peers = new HashMap<>();
  private long sequence;

  /**
   * Binds the socket and starts to send reports.
   *
   * @param loop event loop of the node
   * @param ownAddress address to bind
   * @param node name of this node
   * @param incarnation number of this start of the node
   * @param state source of the reports sent, and receiver of the others'
   */
  public PeerGossip(
      EventLoop loop, Endpoint ownAddress, String node, long incarnation, RelayState state) {
    this.state = state;
    this.node = node;
    this.incarnation = incarnation;
    this.ownAddress = ownAddress;
    channel =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .handler(new ReportReceiver())
            .bind(ownAddress.host(), ownAddress.port())
            .syncUninterruptibly()
            .channel();
    loop.scheduleWithFixedDelay(
        this::sendReports, INTERVAL.toMillis(), INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  /**
   * Adds a node to send reports to or changes its address, and drops any other node at that
   * address. The address of this node itself is ignored.
   */
  public void addPeer(String name, Endpoint endpoint) {
    if (!endpoint.equals(ownAddress)) {
      peers.values().removeIf(endpoint::equals);
      peers.put(name, endpoint);
    }
  }

  private void sendReports() {
    if (peers.isEmpty()) {
      return;
    }
    sequence++;
    byte[] bytes = PeerReportCodec.encode(buildReport());
    for (Endpoint peer : peers.values()) {
      channel.write(
          new DatagramPacket(
              Unpooled.wrappedBuffer(bytes), new InetSocketAddress(peer.host(), peer.port())));
    }
    channel.flush();
  }

  private PeerReport buildReport() {
    Map<String, PeerReport.Load> loads = new HashMap<>();
    Set<String> changing = new HashSet<>();
    Map<String, Long> weights = new HashMap<>();
    for (Runner runner : state.runners().all()) {
      if (runner.running() > 0) {
        loads.put(
            runner.id(),
            new PeerReport.Load(runner.running(), runner.prefillTokens(), runner.memoryTokens()));
      }
      if (runner.isChangingWeights()) {
        changing.add(runner.id());
      }
      runner.singleModelWeightVersion().ifPresent(version -> weights.put(runner.id(), version));
    }
    return new PeerReport(
        node,
        incarnation,
        sequence,
        state.isLogReachable(),
        state.isStopping(),
        loads,
        changing,
        weights);
  }

  @Override
  public void close() {
    channel.close();
  }

  private final class ReportReceiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      PeerReportCodec.decode(ByteBufUtil.getBytes(packet.content()))
          .peek(state::recordPeerReport)
          .peekLeft(
              error -> state.log().info("peer_unreadable", event -> event.with("error", error)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
      state.log().info("peer_error", event -> event.with("error", error.toString()));
    }
  }
}
