package org.dragonflyhill.daemon.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.dragonflyhill.core.relay.ByteAllowance;
import org.dragonflyhill.core.relay.CrashReportSlices;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.HolderAssignment;
import org.dragonflyhill.core.relay.PartChange;
import org.dragonflyhill.core.relay.PartFeed;
import org.dragonflyhill.core.relay.PeerReport;
import org.dragonflyhill.core.relay.PeerSchedule;
import org.dragonflyhill.core.relay.RateLimitReport;
import org.dragonflyhill.core.relay.ResendQueue;
import org.dragonflyhill.core.relay.Runner;
import org.dragonflyhill.core.relay.StreamOrigin;

/**
 * Exchanges load and changes of cached parts with the other nodes, as UDP datagrams.
 *
 * <p>Lost reports are not sent again, since the next one replaces them. Part changes are numbered;
 * a node that misses some asks for them.
 */
public final class PeerGossip implements AutoCloseable, StreamOriginDirectory.Peers {

  /** Number of part changes in a datagram, by which it fits into one frame of the network. */
  static final int MAX_CHANGES_PER_DATAGRAM = 50;

  /** Longest datagram that can be received, the limit of UDP over IPv4. */
  private static final int MAX_DATAGRAM_BYTES = 65_507;

  /** Share of the node's link for part changes. */
  private static final double CHANGES_SHARE = 0.25;

  /** Share of the node's link for what peers have missed. */
  private static final double RESEND_SHARE = 0.1;

  /** Bandwidth of the node's link if it is not known, in bytes per second. */
  private static final double DEFAULT_BANDWIDTH = 2_500_000;

  /** Number of missed changes above which a snapshot is sent instead. */
  private static final int MAX_RESENT_CHANGES = 1_000;

  /** Maximum age of the announcements of weights in a report; older ones are in force by then. */
  private static final Duration MAX_ANNOUNCEMENT_AGE = Duration.ofSeconds(30);

  private final RelayState state;
  private final HolderAssignment assignment;
  private final String node;
  private final String zone;
  private final long incarnation;
  private final Endpoint ownAddress;
  private final EventLoop loop;
  private final Channel channel;
  private final Map<String, Map<String, StreamOrigin>> untoldOrigins = new HashMap<>();
  private final Map<String, Peer> peers = new TreeMap<>();
  private final Map<InetSocketAddress, Peer> peersByAddress = new HashMap<>();
  private final Map<String, PartFeed> feeds = new HashMap<>();
  private final ByteAllowance changesAllowance;
  private final ResendQueue<Peer> resends;
  private final CrashReportSlices crashSlices = new CrashReportSlices();
  private long sequence;
  private long changesTick;

  /**
   * Binds the socket and starts to send reports.
   *
   * @param loop event loop of the node
   * @param ownAddress address to bind
   * @param node name of this node
   * @param zone availability zone of this node
   * @param incarnation number of this start of the node
   * @param assignment the runners and stores whose changes this node reads for its peers
   * @param state source of the reports sent, and receiver of the others'
   */
  public PeerGossip(
      EventLoop loop,
      Endpoint ownAddress,
      String node,
      String zone,
      long incarnation,
      HolderAssignment assignment,
      RelayState state) {
    this.loop = loop;
    this.state = state;
    this.assignment = assignment;
    this.node = node;
    this.zone = zone;
    this.incarnation = incarnation;
    this.ownAddress = ownAddress;
    double bandwidth = state.traffic().bandwidth().orElse(DEFAULT_BANDWIDTH);
    changesAllowance = new ByteAllowance(CHANGES_SHARE * bandwidth, state.now());
    resends = new ResendQueue<>(RESEND_SHARE * bandwidth, state.now());
    channel =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            // Netty truncates longer datagrams than its buffer, which is 2,048 bytes by default.
            .option(
                ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(new DatagramReceiver())
            .bind(ownAddress.host(), ownAddress.port())
            .syncUninterruptibly()
            .channel();
    state.streamOrigins().usePeers(this);
    PeriodicTask.schedule(loop, PeerSchedule.REPORTS.tick(), state.log(), this::sendReports);
    PeriodicTask.schedule(loop, PeerSchedule.PART_CHANGES.tick(), state.log(), this::sendChanges);
  }

  /**
   * Adds a node to send reports to or changes its address, and drops any other node at that
   * address. The address of this node itself is ignored.
   */
  public void addPeer(String name, Endpoint endpoint) {
    if (!endpoint.equals(ownAddress)) {
      var address = new InetSocketAddress(endpoint.host(), endpoint.port());
      peers.values().removeIf(peer -> peer.address.equals(address));
      Peer peer = new Peer(address, state.partChanges().nextSequence());
      Peer replaced = peers.put(name, peer);
      if (replaced != null) {
        peersByAddress.remove(replaced.address);
      }
      peersByAddress.put(address, peer);
    }
  }

  /** Sends part changes to the peers that are due and have not got them yet. */
  private void sendChanges() {
    changesTick++;
    sendChanges(PeerSchedule.PART_CHANGES.due(List.copyOf(peers.values()), changesTick));
    resends
        .take(state.now())
        .forEach(
            resent ->
                send(LinkTraffic.Purpose.PEER_RESENDS, resent.bytes(), resent.peer().address));
    channel.flush();
  }

  private void sendChanges(List<Peer> due) {
    Map<Long, List<byte[]>> changesFrom = new HashMap<>();
    long next = state.partChanges().nextSequence();
    for (Peer peer : due) {
      if (next - peer.nextChange > MAX_RESENT_CHANGES) {
        // The peer learns from the next report that it has missed changes, and asks for them.
        peer.nextChange = next;
      } else if (peer.nextChange < next && changesAllowance.isAvailable(state.now())) {
        for (byte[] bytes : changesFrom.computeIfAbsent(peer.nextChange, this::encodeChanges)) {
          send(LinkTraffic.Purpose.PEER_CHANGES, bytes, peer.address);
          changesAllowance.spend(bytes.length);
        }
        peer.nextChange = next;
      }
    }
  }

  private void sendReports() {
    Instant now = state.now();
    state.peers().removeGone(now);
    List<Peer> due = PeerSchedule.REPORTS.due(List.copyOf(peers.values()), sequence);
    final long round = sequence / PeerSchedule.REPORTS.groups(peers.size());
    sequence++;
    if (due.isEmpty()) {
      return;
    }
    // A report names the next change, so the ones before go first.
    sendChanges(due);
    byte[] report = PeerDatagramCodec.encode(new PeerDatagram.Report(buildReport(round, now)));
    due.forEach(peer -> send(LinkTraffic.Purpose.PEER_REPORTS, report, peer.address));
    Set<String> outOfReach = state.servicesOutOfReach();
    if (!outOfReach.isEmpty()) {
      byte[] reach = PeerDatagramCodec.encode(new PeerDatagram.OutOfReach(node, outOfReach));
      due.forEach(peer -> send(LinkTraffic.Purpose.PEER_OTHER, reach, peer.address));
    }
    channel.flush();
  }

  /** Returns no datagram if the changes are not kept any more; the peer will ask for a snapshot. */
  private List<byte[]> encodeChanges(long from) {
    List<byte[]> datagrams = new ArrayList<>();
    List<PartChange> changes = state.partChanges().since(from).orElse(List.of());
    for (int i = 0; i < changes.size(); i += MAX_CHANGES_PER_DATAGRAM) {
      List<PartChange> slice =
          changes.subList(i, Math.min(changes.size(), i + MAX_CHANGES_PER_DATAGRAM));
      datagrams.add(
          PeerDatagramCodec.encode(
              new PeerDatagram.Changes(node, new PartFeed.Changes(incarnation, from + i, slice))));
    }
    return datagrams;
  }

  private List<byte[]> encodeSnapshot() {
    List<PartChange> contents = new ArrayList<>();
    for (Endpoint holder : assignment.recentReads(state.now()).keySet()) {
      contents.addAll(state.parts().contents(holder));
    }
    long next = state.partChanges().nextSequence();
    int count = Math.max(1, Math.ceilDiv(contents.size(), MAX_CHANGES_PER_DATAGRAM));
    List<byte[]> datagrams = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int start = i * MAX_CHANGES_PER_DATAGRAM;
      List<PartChange> slice =
          contents.subList(start, Math.min(contents.size(), start + MAX_CHANGES_PER_DATAGRAM));
      datagrams.add(
          PeerDatagramCodec.encode(
              new PeerDatagram.Snapshot(
                  node, new PartFeed.Snapshot(incarnation, next, i, count, slice))));
    }
    return datagrams;
  }

  @Override
  public List<HolderAssignment.Peer> live() {
    return state.peers().livePeers(state.now()).stream()
        .filter(peer -> peers.containsKey(peer.node()))
        .toList();
  }

  /** Returns the address of a peer, at which it also accepts connections of other nodes. */
  Optional<Endpoint> endpoint(String name) {
    return Optional.ofNullable(peers.get(name))
        .map(peer -> new Endpoint(peer.address.getHostString(), peer.address.getPort()));
  }

  /** Returns whether a registered node has a network address. */
  boolean isPeerHost(String host) {
    return peers.values().stream().anyMatch(peer -> peer.address.getHostString().equals(host));
  }

  /** Tells peers with one datagram each of all streams that begin in one pass of the event loop. */
  @Override
  public void tell(String attempt, StreamOrigin origin, List<String> nodes) {
    if (untoldOrigins.isEmpty() && !nodes.isEmpty()) {
      loop.execute(this::sendOrigins);
    }
    nodes.forEach(
        name -> untoldOrigins.computeIfAbsent(name, any -> new HashMap<>()).put(attempt, origin));
  }

  private void sendOrigins() {
    untoldOrigins.forEach(
        (name, origins) -> sendTo(name, new PeerDatagram.StreamsBegun(node, origins)));
    untoldOrigins.clear();
    channel.flush();
  }

  @Override
  public void ask(String attempt, List<String> nodes) {
    nodes.forEach(name -> sendTo(name, new PeerDatagram.StreamQuery(node, attempt)));
    channel.flush();
  }

  private void sendTo(String name, PeerDatagram datagram) {
    Peer peer = peers.get(name);
    if (peer != null) {
      send(LinkTraffic.Purpose.PEER_OTHER, PeerDatagramCodec.encode(datagram), peer.address);
    }
  }

  private void onStreamQuery(PeerDatagram.StreamQuery query, Peer sender) {
    PeerDatagram answer =
        state
            .streamOrigins()
            .known(query.attempt())
            .<PeerDatagram>map(
                known ->
                    new PeerDatagram.StreamsBegun(node, Map.of(query.attempt(), known.origin())))
            .orElseGet(() -> new PeerDatagram.StreamUnknown(node, query.attempt()));
    send(LinkTraffic.Purpose.PEER_OTHER, PeerDatagramCodec.encode(answer), sender.address);
    channel.flush();
  }

  private void send(LinkTraffic.Purpose purpose, byte[] bytes, InetSocketAddress address) {
    state.metrics().count("peers.datagrams");
    state.traffic().counter(purpose).addSent(bytes.length);
    channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), address));
  }

  private PeerReport buildReport(long round, Instant now) {
    Map<String, PeerReport.Load> loads = new HashMap<>();
    Set<String> changing = new HashSet<>();
    Map<String, Long> draining = new HashMap<>();
    Map<String, Long> weights = new HashMap<>();
    Map<String, RateLimitReport> rateLimits = new HashMap<>();
    for (Runner runner : state.runners().all()) {
      if (runner.running() > 0) {
        loads.put(
            runner.id(),
            new PeerReport.Load(runner.running(), runner.prefillTokens(), runner.memoryTokens()));
      }
      if (runner.isChangingWeights()) {
        changing.add(runner.id());
      }
      if (runner.isMarkedDraining()) {
        draining.put(runner.id(), runner.info().startedAtMillis());
      }
      runner
          .rateLimit()
          .report(runner.info().startedAtMillis(), now)
          .ifPresent(limit -> rateLimits.put(runner.id(), limit));
      runner
          .singleModelWeightVersion()
          .filter(version -> !runner.info().weightVersions().containsValue(version))
          .ifPresent(version -> weights.put(runner.id(), version));
    }
    return new PeerReport(
        node,
        zone,
        incarnation,
        sequence,
        state.isLogReachable(),
        state.isStopping(),
        loads,
        changing,
        draining,
        weights,
        state.weights().announced().recent(MAX_ANNOUNCEMENT_AGE, now),
        assignment.reads(now),
        state.partChanges().nextSequence(),
        state.sharedTopics().progress(now),
        state.runnerClockMillis(),
        crashSlices.slice(state.crashSuspects().report(now), round),
        state.requestRates(),
        rateLimits);
  }

  private void onDatagram(PeerDatagram datagram, Peer sender) {
    switch (datagram) {
      case PeerDatagram.Report report -> onReport(report.report(), sender);
      case PeerDatagram.Changes changes ->
          feed(changes.node()).accept(changes.changes()).forEach(this::apply);
      case PeerDatagram.Snapshot snapshot ->
          feed(snapshot.node()).accept(snapshot.snapshot()).forEach(this::apply);
      case PeerDatagram.Resend resend -> onResend(resend.from(), sender);
      case PeerDatagram.OutOfReach reach ->
          state.forwardTargets().recordOutOfReach(reach.node(), reach.services(), state.now());
      case PeerDatagram.StreamsBegun begun ->
          begun
              .origins()
              .forEach(
                  (attempt, origin) -> state.streamOrigins().onTold(begun.node(), attempt, origin));
      case PeerDatagram.StreamQuery query -> onStreamQuery(query, sender);
      case PeerDatagram.StreamUnknown unknown ->
          state.streamOrigins().onUnknown(unknown.node(), unknown.attempt());
    }
  }

  private static LinkTraffic.Purpose purpose(PeerDatagram datagram) {
    return switch (datagram) {
      case PeerDatagram.Report report -> LinkTraffic.Purpose.PEER_REPORTS;
      case PeerDatagram.Changes changes -> LinkTraffic.Purpose.PEER_CHANGES;
      case PeerDatagram.Snapshot snapshot -> LinkTraffic.Purpose.PEER_RESENDS;
      default -> LinkTraffic.Purpose.PEER_OTHER;
    };
  }

  private void apply(PartChange change) {
    state.parts().apply(change, state.now());
  }

  private void onReport(PeerReport report, Peer sender) {
    Instant now = state.now();
    state.recordPeerReport(report);
    feed(report.node())
        .missingFrom(report.incarnation(), report.nextPartChange(), now)
        .ifPresent(
            from -> {
              state.metrics().count("peers.changes_missed");
              send(
                  LinkTraffic.Purpose.PEER_OTHER,
                  PeerDatagramCodec.encode(new PeerDatagram.Resend(node, from)),
                  sender.address);
              channel.flush();
            });
    report.topics().forEach(state.sharedTopics()::onProgress);
    assignment.recordReports(report.node(), report.holderReports(), now);
    report
        .holderReports()
        .forEach((holder, age) -> state.parts().markFresh(holder, now.minus(age)));
  }

  private void onResend(long from, Peer sender) {
    boolean isStillToBeSent = from != PartFeed.SNAPSHOT && from >= sender.nextChange;
    if (!isStillToBeSent) {
      resends.add(sender, () -> encodeMissed(from));
    }
  }

  private List<byte[]> encodeMissed(long from) {
    boolean isRecent =
        from != PartFeed.SNAPSHOT
            && state.partChanges().nextSequence() - from <= MAX_RESENT_CHANGES;
    return isRecent ? encodeChanges(from) : encodeSnapshot();
  }

  private PartFeed feed(String peer) {
    return feeds.computeIfAbsent(peer, any -> new PartFeed());
  }

  @Override
  public void close() {
    channel.close();
  }

  private static final class Peer {
    private final InetSocketAddress address;
    private long nextChange;

    Peer(InetSocketAddress address, long nextChange) {
      this.address = address;
      this.nextChange = nextChange;
    }
  }

  /** Accepts datagrams from the addresses of registered nodes only. */
  private final class DatagramReceiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      Peer sender = peersByAddress.get(packet.sender());
      if (sender == null) {
        state.metrics().count("peers.unknown_sender");
        return;
      }
      byte[] bytes = ByteBufUtil.getBytes(packet.content());
      PeerDatagramCodec.decode(bytes)
          .peek(datagram -> state.traffic().counter(purpose(datagram)).addReceived(bytes.length))
          .peek(datagram -> onDatagram(datagram, sender))
          .peekLeft(
              error -> state.log().info("peer_unreadable", event -> event.with("error", error)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
      state.log().info("peer_error", event -> event.with("error", error.toString()));
    }
  }
}
