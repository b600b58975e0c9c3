package org.dragonflyhill.daemon.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.RelayConfiguration;
import org.dragonflyhill.core.relay.Runner;

/** Takes callers' connections and keeps the requests that run. */
public final class RelayServer implements AutoCloseable {

  private static final Duration CALL_TICK = Duration.ofMillis(50);
  private static final Duration WAITING_TICK = Duration.ofMillis(25);
  private static final Duration SWEEP_TICK = Duration.ofMillis(250);

  /** New connections that may wait to be taken. */
  private static final int BACKLOG = 1_024;

  private final EventLoop loop;
  private final RelayState state;
  private final CallDialect dialect;
  private final RunnerConnections connections;
  private final Set<CallerConnection> callers = new HashSet<>();
  private final Set<RelayCall> calls = new HashSet<>();
  private final WaitingCalls waiting = new WaitingCalls();
  private final Channel listener;
  private boolean isRefusing;

  /** Starts to listen. */
  public RelayServer(EventLoop loop, Endpoint address, RelayState state, CallDialect dialect) {
    this.loop = loop;
    this.state = state;
    this.dialect = dialect;
    this.connections = new RunnerConnections(loop, dialect, state.log(), state::now);
    listener =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    opened(channel);
                  }
                })
            .bind(address.host(), address.port())
            .syncUninterruptibly()
            .channel();
    every(CALL_TICK, this::tickCalls);
    every(WAITING_TICK, () -> waiting.retry(state.now()));
    every(SWEEP_TICK, this::sweep);
    state.metrics().gauge("relay.waiting", waiting::size);
    state.metrics().gauge("relay.callers", callers::size);
    state.metrics().gauge("relay.running", calls::size);
    state.metrics().gauge("relay.runner_connections_opened", connections::opened);
  }

  private void every(Duration interval, Runnable task) {
    loop.scheduleWithFixedDelay(
        task, interval.toMillis(), interval.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void opened(SocketChannel channel) {
    RelayConfiguration.CallerLimits limits = limits();
    var caller = new CallerConnection(this, channel, state.now());
    var config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxHeaderBytes())
            .setMaxHeaderSize(limits.maxHeaderBytes());
    channel
        .pipeline()
        .addLast(
            new StrictRequestDecoder(config, caller::bytesCame), new HttpResponseEncoder(), caller);
    callers.add(caller);
  }

  private void tickCalls() {
    Instant now = state.now();
    List.copyOf(calls).forEach(call -> call.tick(now));
  }

  private void sweep() {
    Instant now = state.now();
    List.copyOf(callers).forEach(caller -> caller.sweep(now));
    connections.sweep();
    state.runners().all().stream().filter(runner -> runner.isProbeDue(now)).forEach(this::probe);
    state.parts().expire(now);
    state.runnersGone(state.runners().expire(now));
  }

  /** Looks by a mere connection whether a runner can be reached again, so that no request waits. */
  private void probe(Runner runner) {
    connections.open(
        runner.info().endpoint(),
        connection -> {
          connections.release(connection);
          runner.reached();
          state.log().note("runner_reached", event -> event.with("runner", runner.id()));
        },
        error -> runner.unreached(state.now()));
  }

  /** Returns the calls that wait for room at a runner. */
  WaitingCalls waiting() {
    return waiting;
  }

  RelayState state() {
    return state;
  }

  CallDialect dialect() {
    return dialect;
  }

  RunnerConnections connections() {
    return connections;
  }

  RelayConfiguration.CallerLimits limits() {
    return state
        .configuration()
        .map(RelayConfiguration::limits)
        .orElse(RelayConfiguration.CallerLimits.DEFAULT);
  }

  void began(RelayCall call) {
    calls.add(call);
  }

  void ended(RelayCall call) {
    calls.remove(call);
  }

  void closed(CallerConnection caller) {
    callers.remove(caller);
  }

  void refused(String reason, String requestId, String detail) {
    state.metrics().count("relay.refused." + reason);
    state
        .log()
        .note(
            "request_refused",
            event ->
                event.with("request", requestId).with("reason", reason).with("detail", detail));
  }

  /** Returns the number of requests that run. */
  public int running() {
    return calls.size();
  }

  /** Takes no more connections, and refuses requests that still come. */
  public void refuseNew() {
    isRefusing = true;
    listener.close();
  }

  boolean isRefusing() {
    return isRefusing;
  }

  /** Returns the port that it listens on. */
  public int port() {
    return ((java.net.InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Closes the callers' connections that no request is on. */
  public void closeIdle() {
    List.copyOf(callers).forEach(CallerConnection::closeIfIdle);
  }

  @Override
  public void close() {
    listener.close();
  }
}
