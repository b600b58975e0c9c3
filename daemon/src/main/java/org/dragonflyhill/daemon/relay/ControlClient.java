package org.dragonflyhill.daemon.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dragonflyhill.core.relay.Endpoint;

/**
 * Calls the log service and the control interfaces of runners and stores.
 *
 * <p>A connection on which a call had no answer is closed. Not thread-safe: for one event loop.
 */
public final class ControlClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);
  private static final int MAX_ANSWER_BYTES = 16 * 1_024 * 1_024;

  /** Idle connections kept to one endpoint. */
  private static final int MAX_IDLE = 2;

  private final EventLoop loop;
  private final Map<Endpoint, Deque<Connection>> idle = new HashMap<>();
  private long calls;

  /** Creates a client without connections. */
  public ControlClient(EventLoop loop) {
    this.loop = loop;
  }

  /** Returns the number of calls made so far. */
  public long calls() {
    return calls;
  }

  /** Returns the loop on which results are handed over. */
  public EventLoop loop() {
    return loop;
  }

  /** Makes a call and hands its result over, on the loop. */
  public void call(Endpoint endpoint, Call call, Consumer<Either<Failure, Answer>> done) {
    calls++;
    Deque<Connection> free = idle.getOrDefault(endpoint, new ArrayDeque<>());
    Connection connection = free.pollLast();
    while (connection != null && !connection.channel.isActive()) {
      connection = free.pollLast();
    }
    if (connection != null) {
      connection.send(call, done);
      return;
    }
    connect(endpoint, call, done);
  }

  private void connect(Endpoint endpoint, Call call, Consumer<Either<Failure, Answer>> done) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.toIntExact(CONNECT_TIMEOUT.toMillis()))
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_ANSWER_BYTES));
                  }
                })
            .connect(endpoint.host(), endpoint.port());
    connecting.addListener(
        future -> {
          if (!future.isSuccess()) {
            done.accept(Either.left(new Failure(future.cause().toString(), false)));
            return;
          }
          var connection = new Connection(endpoint, connecting.channel());
          connecting.channel().pipeline().addLast(connection);
          connection.send(call, done);
        });
  }

  /**
   * A call to make.
   *
   * @param method HTTP method
   * @param target path and query
   * @param headers further header fields
   * @param contentType type of the body
   * @param body the body, empty for none
   * @param timeout longest wait for the answer
   */
  public record Call(
      String method,
      String target,
      Map<String, String> headers,
      String contentType,
      byte[] body,
      Duration timeout) {

    /** Returns a call without a body. */
    public static Call get(String target, Duration timeout) {
      return new Call("GET", target, Map.of(), "", new byte[0], timeout);
    }

    /** Returns a call with a JSON body. */
    public static Call json(String target, byte[] body, Duration timeout) {
      return new Call("POST", target, Map.of(), "application/json", body, timeout);
    }
  }

  /**
   * An answer.
   *
   * @param status its status
   * @param body its body
   */
  public record Answer(int status, byte[] body) {}

  /**
   * Why there is no answer.
   *
   * @param reason the reason
   * @param mayHaveHappened whether the call may have had its effect
   */
  public record Failure(String reason, boolean mayHaveHappened) {}

  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Endpoint endpoint;
    private final Channel channel;
    private Optional<Consumer<Either<Failure, Answer>>> waiting = Optional.empty();
    private Optional<ScheduledFuture<?>> timer = Optional.empty();

    Connection(Endpoint endpoint, Channel channel) {
      this.endpoint = endpoint;
      this.channel = channel;
    }

    void send(Call call, Consumer<Either<Failure, Answer>> done) {
      waiting = Optional.of(done);
      var request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(call.method()),
              call.target(),
              Unpooled.wrappedBuffer(call.body()));
      request.headers().set(HttpHeaderNames.HOST, endpoint.toString());
      call.headers().forEach((name, value) -> request.headers().set(name, value));
      if (!call.contentType().isEmpty()) {
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, call.contentType());
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
      }
      timer =
          Optional.of(
              loop.schedule(
                  () -> fail("no answer in " + call.timeout().toMillis() + " ms"),
                  call.timeout().toMillis(),
                  TimeUnit.MILLISECONDS));
      channel.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      Optional<Consumer<Either<Failure, Answer>>> done = waiting;
      waiting = Optional.empty();
      timer.ifPresent(running -> running.cancel(false));
      if (done.isEmpty() || response.decoderResult().isFailure()) {
        channel.close();
        done.ifPresent(d -> d.accept(Either.left(new Failure("malformed answer", true))));
        return;
      }
      Deque<Connection> free = idle.computeIfAbsent(endpoint, any -> new ArrayDeque<>());
      if (HttpUtil.isKeepAlive(response) && free.size() < MAX_IDLE) {
        free.addLast(this);
      } else {
        channel.close();
      }
      byte[] body = ByteBufUtil.getBytes(response.content());
      done.get().accept(Either.right(new Answer(response.status().code(), body)));
    }

    private void fail(String reason) {
      final Optional<Consumer<Either<Failure, Answer>>> done = waiting;
      waiting = Optional.empty();
      timer.ifPresent(running -> running.cancel(false));
      channel.close();
      done.ifPresent(d -> d.accept(Either.left(new Failure(reason, true))));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      Deque<Connection> free = idle.get(endpoint);
      if (free != null) {
        free.remove(this);
      }
      fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
      fail(error.toString());
    }
  }
}
