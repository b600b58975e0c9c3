package org.dragonflyhill.daemon.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dragonflyhill.core.relay.Arrival;
import org.dragonflyhill.core.relay.BodyAdmission;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.RelayConfiguration;
import org.dragonflyhill.core.relay.RelayMemory;
import org.dragonflyhill.core.relay.Route;
import org.dragonflyhill.core.relay.Runner;
import org.dragonflyhill.core.relay.ShutdownAdmission;
import org.dragonflyhill.core.relay.SlowReaders;

/** HTTP server that accepts callers' connections and tracks the requests in progress. */
public final class RelayServer implements AutoCloseable {

  private static final Duration REQUEST_CHECK_INTERVAL = Duration.ofMillis(50);
  private static final Duration QUEUE_RETRY_INTERVAL = Duration.ofMillis(25);

  private static final Duration STREAM_JOURNAL_INTERVAL = Duration.ofMillis(50);
  private static final Duration STREAM_LOOKUP_INTERVAL = Duration.ofMillis(20);

  /** How often this node's shares of the runners' rate limits are calculated anew. */
  private static final Duration RATE_LIMIT_INTERVAL = Duration.ofMillis(150);

  private static final Duration TRAFFIC_INTERVAL = Duration.ofSeconds(1);

  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(250);

  /** Minimum time between two connections that tell whether a runner can be reached. */
  private static final Duration MIN_VERIFICATION_INTERVAL = Duration.ofSeconds(1);

  /** Maximum number of connections that wait to be accepted. */
  private static final int BACKLOG = 1_024;

  private final EventLoop loop;
  private final PollTimes pollTimes;
  private final EventLoopLag lag;
  private final StepQueue steps;
  private final RelayMemory memory;
  private final BodyAdmission bodies;
  private final RelayState state;
  private final HeaderCodec headerCodec;
  private final RunnerConnectionPool runnerConnections;
  private final RunnerCrashDetector crashDetector;
  private final PeerForwarder forwarder;
  private final Map<String, Instant> verifiedAt = new HashMap<>();
  private final Set<CallerConnection> callers = new HashSet<>();
  private final Set<RelayedRequest> activeRequests = new HashSet<>();
  private final RequestQueue queue = new RequestQueue();
  private final Channel serverChannel;
  private Optional<Channel> peerChannel = Optional.empty();
  private final RouteDurations routeDurations = new RouteDurations();
  private Optional<ShutdownAdmission> shutdown = Optional.empty();
  private boolean isRefusingRequests;

  /** Binds the address and starts to accept connections. */
  public RelayServer(
      EventLoop loop,
      PollTimes pollTimes,
      RelayMemory memory,
      Endpoint address,
      RelayState state,
      HeaderCodec headerCodec) {
    this.loop = loop;
    this.pollTimes = pollTimes;
    this.memory = memory;
    bodies = new BodyAdmission(memory);
    this.state = state;
    this.headerCodec = headerCodec;
    lag = new EventLoopLag(REQUEST_CHECK_INTERVAL, state.metrics(), state.log(), state.now());
    steps = new StepQueue(loop, pollTimes::nanos);
    this.runnerConnections =
        new RunnerConnectionPool(
            loop,
            steps,
            headerCodec,
            state.log(),
            state::now,
            state::recordConnectAttempt,
            state.traffic().counter(LinkTraffic.Purpose.RUNNERS));
    this.crashDetector = new RunnerCrashDetector(loop, state, runnerConnections);
    forwarder = new PeerForwarder(loop, steps, headerCodec, state);
    serverChannel = listen(address, channel -> onConnectionOpened(channel, false));
    scheduleEvery(REQUEST_CHECK_INTERVAL, this::checkRequestTimeouts);
    scheduleEvery(QUEUE_RETRY_INTERVAL, () -> queue.retry(state.now()));
    scheduleEvery(QUEUE_RETRY_INTERVAL, () -> bodies.update(state.now()));
    scheduleEvery(STREAM_LOOKUP_INTERVAL, () -> state.streamOrigins().checkLookups(state.now()));
    scheduleEvery(STREAM_JOURNAL_INTERVAL, state::writeStreamOrigins);
    scheduleEvery(SWEEP_INTERVAL, this::sweep);
    scheduleEvery(RATE_LIMIT_INTERVAL, state::updateRateLimitShares);
    scheduleEvery(TRAFFIC_INTERVAL, () -> state.traffic().record(state.now()));
    state.metrics().registerGauge("relay.waiting", queue::size);
    state.metrics().registerGauge("relay.waiting_steps", steps::size);
    state.metrics().registerGauge("relay.rate_limited_runners", state::rateLimitedRunners);
    state.metrics().registerGauge("relay.cold_runners", state.coldRunners()::count);
    state.metrics().registerGauge("relay.callers", callers::size);
    state.metrics().registerGauge("relay.running", activeRequests::size);
    state.metrics().registerGauge("relay.paused", this::pausedRequests);
    state.metrics().registerGauge("relay.held_bytes", memory::total);
    state.metrics().registerGauge("relay.waiting_bodies", bodies::size);
    state
        .metrics()
        .registerGauge("relay.runner_connections_opened", runnerConnections::openedCount);
  }

  private Channel listen(Endpoint address, Consumer<SocketChannel> opened) {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        // Connections left over for the next turn would seem to have come after this one.
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(BACKLOG))
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.SO_KEEPALIVE, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                opened.accept(channel);
              }
            })
        .bind(address.host(), address.port())
        .syncUninterruptibly()
        .channel();
  }

  private void scheduleEvery(Duration interval, Runnable task) {
    PeriodicTask.schedule(loop, interval, state.log(), task);
  }

  /**
   * Lets peers serve requests while this node reaches no runner, and serves theirs.
   *
   * @param gossip the peers
   * @param address address to bind, for connections of registered nodes only
   */
  public void joinPeers(PeerGossip gossip, Endpoint address) {
    forwarder.usePeers(gossip);
    peerChannel =
        Optional.of(
            listen(
                address,
                channel -> {
                  String host = channel.remoteAddress().getAddress().getHostAddress();
                  if (gossip.isPeerHost(host)) {
                    onConnectionOpened(channel, true);
                  } else {
                    state.metrics().count("peers.unknown_sender");
                    channel.close();
                  }
                }));
  }

  private void onConnectionOpened(SocketChannel channel, boolean isPeer) {
    RelayConfiguration.CallerLimits limits = limits();
    var caller = new CallerConnection(this, channel, isPeer, state.now());
    var config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxHeaderBytes())
            .setMaxHeaderSize(limits.maxHeaderBytes());
    channel
        .pipeline()
        .addLast(
            state
                .traffic()
                .counter(isPeer ? LinkTraffic.Purpose.FORWARDED : LinkTraffic.Purpose.CALLERS),
            new StrictRequestDecoder(config, caller::onBytesReceived),
            new HttpResponseEncoder(),
            caller);
    callers.add(caller);
  }

  private void checkRequestTimeouts() {
    Instant now = state.now();
    lag.record(now);
    List.copyOf(activeRequests).forEach(request -> request.checkTimeouts(now));
  }

  private void sweep() {
    Instant now = state.now();
    List.copyOf(callers).forEach(caller -> caller.checkTimeouts(now));
    SlowReaders.relieve(() -> memory.isUsedUp() || bodies.isBlocked(), List.copyOf(callers), now);
    runnerConnections.closeExpired();
    state.runners().all().stream().filter(runner -> runner.isProbeDue(now)).forEach(this::probe);
    verifiedAt
        .values()
        .removeIf(at -> Duration.between(at, now).compareTo(MIN_VERIFICATION_INTERVAL) >= 0);
    state.runnersToVerify().forEach(this::verify);
    state.parts().expireExpectations(now);
    state.onRunnersRemoved(state.runners().removeExpired(now));
  }

  /** Checks whether a runner is reachable unless that was checked a moment ago. */
  void verify(Runner runner) {
    if (verifiedAt.putIfAbsent(runner.id(), state.now()) == null) {
      probe(runner);
    }
  }

  /**
   * Checks whether a runner is reachable again by opening a connection to it, so that no request
   * has to wait for the attempt.
   */
  private void probe(Runner runner) {
    runnerConnections.open(
        runner.info().endpoint(),
        connection -> {
          runnerConnections.release(connection);
          runner.endEjection();
          state.log().info("runner_reached", event -> event.with("runner", runner.id()));
        },
        error -> runner.eject(state.now()));
  }

  /** Returns the steps of requests that this node has to run. */
  StepQueue steps() {
    return steps;
  }

  /** Returns the requests that wait at this node until a runner has room for them. */
  RequestQueue queue() {
    return queue;
  }

  RelayState state() {
    return state;
  }

  HeaderCodec headerCodec() {
    return headerCodec;
  }

  RunnerConnectionPool runnerConnections() {
    return runnerConnections;
  }

  /** Returns the peers that serve requests while this node reaches no runner. */
  PeerForwarder forwarder() {
    return forwarder;
  }

  RunnerCrashDetector crashDetector() {
    return crashDetector;
  }

  /** Returns the budget for the bytes that this node holds for others. */
  RelayMemory memory() {
    return memory;
  }

  /** Returns the bodies that callers are about to send. */
  BodyAdmission bodies() {
    return bodies;
  }

  /** Returns the arrival of input that is read now. */
  Arrival arrival(Instant now) {
    return new Arrival(now.minus(maxUnread()), now);
  }

  /** Returns the longest time for which input that is read now may have lain unread. */
  Duration maxUnread() {
    return pollTimes.maxUnreadTime();
  }

  RelayConfiguration.CallerLimits limits() {
    return state
        .configuration()
        .map(RelayConfiguration::limits)
        .orElse(RelayConfiguration.CallerLimits.DEFAULT);
  }

  void requestStarted(RelayedRequest request) {
    activeRequests.add(request);
  }

  void requestFinished(RelayedRequest request) {
    activeRequests.remove(request);
  }

  void connectionClosed(CallerConnection caller) {
    callers.remove(caller);
  }

  void recordRefusal(String reason, String requestId, String detail) {
    state.metrics().count("relay.refused." + reason);
    state
        .log()
        .info(
            "request_refused",
            event ->
                event.with("request", requestId).with("reason", reason).with("detail", detail));
  }

  /** Returns the number of open connections of callers. */
  public int callerConnections() {
    return callers.size();
  }

  /**
   * Returns whether a request is in progress, is being received, or has a response that its caller
   * has not taken.
   */
  public boolean isBusy() {
    return !activeRequests.isEmpty() || callers.stream().anyMatch(CallerConnection::isBusy);
  }

  /** Returns the number of requests in progress. */
  public int runningRequests() {
    return activeRequests.size();
  }

  /** Returns the number of requests whose responses are not read on until the callers read more. */
  public int pausedRequests() {
    return (int) activeRequests.stream().filter(RelayedRequest::isReadingPaused).count();
  }

  /** Stops accepting connections, and refuses new requests on those that are open. */
  public void refuseNewRequests() {
    isRefusingRequests = true;
    stopAccepting();
  }

  /** Accepts only requests that end before the node exits from now on. */
  void announceShutdown(ShutdownAdmission admission) {
    shutdown = Optional.of(admission);
  }

  /** Returns whether a new request will have ended when this node exits, if it shuts down. */
  boolean mayFinish(Route route, Instant deadline) {
    return shutdown
        .map(known -> known.mayAccept(deadline, routeDurations.usual(route), state.now()))
        .orElse(true);
  }

  /** Returns how long requests take. */
  RouteDurations routeDurations() {
    return routeDurations;
  }

  /** Answers the requests in progress, since the node is about to exit. */
  void endRequests() {
    List.copyOf(activeRequests).forEach(RelayedRequest::endForShutdown);
  }

  boolean isRefusingRequests() {
    return isRefusingRequests;
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return ((java.net.InetSocketAddress) serverChannel.localAddress()).getPort();
  }

  /** Closes the callers' connections that carry no request. */
  public void closeIdleConnections() {
    List.copyOf(callers).forEach(CallerConnection::closeIfIdle);
  }

  private void stopAccepting() {
    serverChannel.close();
    peerChannel.ifPresent(Channel::close);
  }

  /** Stops accepting connections and closes those that are open, also during a request. */
  @Override
  public void close() {
    stopAccepting();
    loop.execute(() -> List.copyOf(callers).forEach(CallerConnection::close));
  }
}
