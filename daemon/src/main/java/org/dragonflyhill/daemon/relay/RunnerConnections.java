package org.dragonflyhill.daemon.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;
import org.dragonflyhill.core.relay.Endpoint;

/** Open connections to runners, a bounded number to each. */
final class RunnerConnections {

  /** Longest wait for a new connection; one more hop costs a few milliseconds. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** Time that an idle connection is used for where the runner names none. */
  private static final Duration DEFAULT_IDLE_TIME = Duration.ofSeconds(1);

  /** Part of the runner's own idle time within which a connection is used again. */
  private static final double USED_IDLE_SHARE = 0.6;

  /** Seconds without traffic after which a connection is probed, and between two probes. */
  private static final int KEEP_ALIVE_SECONDS = 1;

  private static final int KEEP_ALIVE_PROBES = 3;

  private final EventLoop loop;
  private final CallDialect dialect;
  private final DecisionLog log;
  private final InstantSource clock;
  private final Map<Endpoint, Idle> idle = new HashMap<>();
  private long opened;

  RunnerConnections(EventLoop loop, CallDialect dialect, DecisionLog log, InstantSource clock) {
    this.loop = loop;
    this.dialect = dialect;
    this.log = log;
    this.clock = clock;
  }

  CallDialect dialect() {
    return dialect;
  }

  /** Returns the number of connections opened so far. */
  long opened() {
    return opened;
  }

  Duration usableIdleTime(Duration runnersIdleTime) {
    return Duration.ofNanos((long) (runnersIdleTime.toNanos() * USED_IDLE_SHARE));
  }

  void foreignAnswer(String id) {
    log.note("foreign_answer_skipped", event -> event.with("answered_request", id));
  }

  /** Hands over an idle connection or a new one; gives an error if none can be had. */
  void acquire(Endpoint endpoint, Consumer<RunnerConnection> ready, Consumer<Throwable> failed) {
    Idle connections = idle.computeIfAbsent(endpoint, any -> new Idle());
    RunnerConnection last = connections.free.pollLast();
    while (last != null) {
      if (last.isFresh(clock.instant())) {
        ready.accept(last);
        return;
      }
      last.channel().close();
      last = connections.free.pollLast();
    }
    open(endpoint, ready, failed);
  }

  /** Opens a connection; gives an error if none can be had. */
  void open(Endpoint endpoint, Consumer<RunnerConnection> ready, Consumer<Throwable> failed) {
    opened++;
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.toIntExact(CONNECT_TIMEOUT.toMillis()))
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new HttpRequestEncoder(), new HttpResponseDecoder());
                  }
                })
            .connect(endpoint.host(), endpoint.port());
    connecting.addListener(
        future -> {
          if (!future.isSuccess()) {
            failed.accept(future.cause());
            return;
          }
          Channel channel = connecting.channel();
          var connection = new RunnerConnection(this, channel, DEFAULT_IDLE_TIME);
          channel.pipeline().addLast(connection);
          ready.accept(connection);
        });
  }

  void release(RunnerConnection connection) {
    connection.idle(clock.instant());
    endpoint(connection).free.addLast(connection);
  }

  void closed(RunnerConnection connection) {
    idle.values().forEach(connections -> connections.free.remove(connection));
  }

  /** Closes the idle connections to a runner that is gone. */
  void drop(Endpoint endpoint) {
    Idle connections = idle.remove(endpoint);
    if (connections != null) {
      Deque<RunnerConnection> free = new ArrayDeque<>(connections.free);
      free.forEach(connection -> connection.channel().close());
    }
  }

  /** Closes connections that were idle for so long that they are not used again. */
  void sweep() {
    for (Idle connections : idle.values()) {
      while (!connections.free.isEmpty()
          && !connections.free.peekFirst().isFresh(clock.instant())) {
        connections.free.pollFirst().channel().close();
      }
    }
  }

  private Idle endpoint(RunnerConnection connection) {
    var address = (java.net.InetSocketAddress) connection.channel().remoteAddress();
    Endpoint endpoint = new Endpoint(address.getAddress().getHostAddress(), address.getPort());
    return idle.computeIfAbsent(endpoint, any -> new Idle());
  }

  private static final class Idle {
    private final Deque<RunnerConnection> free = new ArrayDeque<>();
  }
}
