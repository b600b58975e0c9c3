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
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;
import org.dragonflyhill.core.relay.ConnectionReuse;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.ports.WriteErrorHandler;

/** Pool of persistent connections to runners. */
final class RunnerConnectionPool {

  /** Maximum wait for a new connection. A network hop takes only a few milliseconds. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** Time for which an idle connection is reused if the runner announces no idle timeout. */
  private static final Duration DEFAULT_REUSE_WINDOW = Duration.ofSeconds(1);

  /**
   * Fraction of the runner's idle timeout for which an idle connection is reused. The rest is a
   * margin against reusing a connection just as the runner closes it.
   */
  private static final double IDLE_REUSE_FRACTION = 0.6;

  /** Seconds without traffic before the first TCP keep-alive probe, and between probes. */
  private static final int KEEP_ALIVE_SECONDS = 1;

  private static final int KEEP_ALIVE_PROBES = 3;

  private final EventLoop loop;
  private final Executor steps;
  private final HeaderCodec headerCodec;
  private final DecisionLog log;
  private final InstantSource clock;
  private final ConnectObserver observer;
  private final LinkTraffic.PurposeCounter traffic;
  private final Map<Endpoint, IdleConnections> idleByEndpoint = new HashMap<>();
  private long openedCount;

  RunnerConnectionPool(
      EventLoop loop,
      Executor steps,
      HeaderCodec headerCodec,
      DecisionLog log,
      InstantSource clock,
      ConnectObserver observer,
      LinkTraffic.PurposeCounter traffic) {
    this.observer = observer;
    this.traffic = traffic;
    this.loop = loop;
    this.steps = steps;
    this.headerCodec = headerCodec;
    this.log = log;
    this.clock = clock;
  }

  HeaderCodec headerCodec() {
    return headerCodec;
  }

  /** Returns the number of connections opened so far. */
  long openedCount() {
    return openedCount;
  }

  Duration reuseWindow(Duration runnerIdleTimeout) {
    return Duration.ofNanos((long) (runnerIdleTimeout.toNanos() * IDLE_REUSE_FRACTION));
  }

  /** Handles a response to a request that is over; an empty id if it is not known to which. */
  void onStrayResponse(RunnerConnection connection, String id) {
    IdleConnections idle = idleConnections(connection);
    if (idle.reuse.recordStrayResponse(clock.instant())) {
      log.info(
          "connection_reuse_suspended",
          event -> event.with("endpoint", connection.endpoint()).with("answered_request", id));
    }
    closeIdle(idle);
  }

  void logMismatchedResponse(String id) {
    log.info("foreign_answer_skipped", event -> event.with("answered_request", id));
  }

  /**
   * Passes a connection for a request to a callback, or the error if none can be opened. The
   * callback runs after this method has returned, and so after the events of all channels that were
   * found ready together: the end of a caller's connection may be among them.
   *
   * <p>The connection is an idle one or a new one. It is new if the request has no id, since a late
   * response to an earlier request could not be told from its own.
   */
  void acquire(
      Endpoint endpoint,
      String requestId,
      Consumer<RunnerConnection> ready,
      Consumer<Throwable> failed) {
    if (requestId.isEmpty()) {
      steps.execute(() -> open(endpoint, ready, failed));
    } else {
      steps.execute(() -> acquireNow(endpoint, ready, failed));
    }
  }

  private void acquireNow(
      Endpoint endpoint, Consumer<RunnerConnection> ready, Consumer<Throwable> failed) {
    IdleConnections idle = idleByEndpoint.computeIfAbsent(endpoint, any -> new IdleConnections());
    RunnerConnection connection = idle.connections.pollLast();
    while (connection != null) {
      if (connection.isReusableAt(clock.instant())) {
        ready.accept(connection);
        return;
      }
      connection.channel().close();
      connection = idle.connections.pollLast();
    }
    open(endpoint, ready, failed);
  }

  /** Opens a new connection and passes it, or the error, to a callback. */
  void open(Endpoint endpoint, Consumer<RunnerConnection> ready, Consumer<Throwable> failed) {
    openedCount++;
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
                    channel
                        .pipeline()
                        .addLast(
                            traffic,
                            WriteErrorHandler.INSTANCE,
                            new TransparentRequestEncoder(),
                            new StrictResponseDecoder());
                  }
                })
            .connect(endpoint.host(), endpoint.port());
    connecting.addListener(
        future -> {
          observer.onConnectEnded(endpoint, future.isSuccess());
          if (!future.isSuccess()) {
            failed.accept(future.cause());
            return;
          }
          Channel channel = connecting.channel();
          var connection = new RunnerConnection(this, endpoint, channel, DEFAULT_REUSE_WINDOW);
          channel.pipeline().addFirst(connection.idleGuard());
          channel.pipeline().addLast(connection);
          steps.execute(() -> pass(connection, ready, failed));
        });
  }

  private static void pass(
      RunnerConnection connection, Consumer<RunnerConnection> ready, Consumer<Throwable> failed) {
    if (connection.channel().isActive()) {
      ready.accept(connection);
    } else {
      failed.accept(new ClosedChannelException());
    }
  }

  void release(RunnerConnection connection) {
    Instant now = clock.instant();
    IdleConnections idle = idleConnections(connection);
    if (!idle.reuse.isPermitted(now)) {
      connection.channel().close();
      return;
    }
    connection.markIdle(now);
    idle.connections.addLast(connection);
  }

  void onClosed(RunnerConnection connection) {
    idleByEndpoint.values().forEach(idle -> idle.connections.remove(connection));
  }

  /** Closes the idle connections to an endpoint. */
  void closeIdle(Endpoint endpoint) {
    IdleConnections idle = idleByEndpoint.get(endpoint);
    if (idle != null) {
      closeIdle(idle);
    }
  }

  private static void closeIdle(IdleConnections idle) {
    Deque<RunnerConnection> closing = new ArrayDeque<>(idle.connections);
    idle.connections.clear();
    closing.forEach(connection -> connection.channel().close());
  }

  /** Closes the connections that have been idle for too long to be reused. */
  void closeExpired() {
    for (IdleConnections idle : idleByEndpoint.values()) {
      while (!idle.connections.isEmpty()
          && !idle.connections.peekFirst().isReusableAt(clock.instant())) {
        idle.connections.pollFirst().channel().close();
      }
    }
  }

  private IdleConnections idleConnections(RunnerConnection connection) {
    return idleByEndpoint.computeIfAbsent(connection.endpoint(), any -> new IdleConnections());
  }

  /** Is told of every attempt to open a connection, whoever asked for it. */
  @FunctionalInterface
  interface ConnectObserver {

    /** Called when a connection has been opened, or could not be. */
    void onConnectEnded(Endpoint endpoint, boolean isConnected);
  }

  private static final class IdleConnections {
    private final ConnectionReuse reuse = new ConnectionReuse();
    private final Deque<RunnerConnection> connections = new ArrayDeque<>();
  }
}
