package org.dragonflyhill.daemon.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
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
import org.dragonflyhill.core.relay.ByteBudget;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.RelayMemory;
import org.dragonflyhill.ports.WriteErrorHandler;

/**
 * HTTP client for the log service and for the control interfaces of runners and stores.
 *
 * <p>A connection on which a request failed or timed out is closed, the others are reused unless a
 * request asks for one of its own. Not thread-safe: all methods must be called on the client's
 * event loop.
 */
public final class ControlClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);
  private static final int MAX_RESPONSE_BYTES = 16 * 1_024 * 1_024;

  /** Maximum number of bytes of all responses that are being received. */
  private static final int MAX_BYTES_IN_PROGRESS = 24 * 1_024 * 1_024;

  /** Maximum number of idle connections kept open to one endpoint. */
  private static final int MAX_IDLE_PER_ENDPOINT = 2;

  private static final String AGGREGATOR = "aggregator";
  private static final String BUDGET = "budget";

  private final EventLoop loop;
  private final ByteBudget responseBytes;
  private final Optional<LinkTraffic.PurposeCounter> traffic;
  private final Map<Endpoint, Deque<Connection>> idleConnections = new HashMap<>();
  private long requestCount;

  /** Creates a client that runs on an event loop. */
  public ControlClient(EventLoop loop) {
    this(loop, new ByteBudget(MAX_RESPONSE_BYTES, MAX_BYTES_IN_PROGRESS));
  }

  /** Creates a client whose responses also count in the memory of the node. */
  public ControlClient(EventLoop loop, RelayMemory memory, LinkTraffic.PurposeCounter traffic) {
    this(loop, memory.part(MAX_RESPONSE_BYTES, MAX_BYTES_IN_PROGRESS), Optional.of(traffic));
  }

  /** Creates a client that runs on an event loop and limits what it receives. */
  public ControlClient(EventLoop loop, ByteBudget responseBytes) {
    this(loop, responseBytes, Optional.empty());
  }

  /**
   * Creates a client that limits what it receives and counts its traffic, if a counter is given.
   */
  public ControlClient(
      EventLoop loop, ByteBudget responseBytes, Optional<LinkTraffic.PurposeCounter> traffic) {
    this.loop = loop;
    this.responseBytes = responseBytes;
    this.traffic = traffic;
  }

  /** Returns the number of requests sent so far. */
  public long requestCount() {
    return requestCount;
  }

  /** Returns the event loop on which callbacks run. */
  public EventLoop loop() {
    return loop;
  }

  /** Sends a request and passes its result to a callback on the event loop. */
  public void request(
      Endpoint endpoint, Request request, Consumer<Either<Failure, Response>> done) {
    requestCount++;
    Deque<Connection> available = idleConnections.getOrDefault(endpoint, new ArrayDeque<>());
    Connection connection = available.pollLast();
    while (connection != null && !connection.channel.isActive()) {
      connection = available.pollLast();
    }
    if (connection != null) {
      connection.send(request, done);
      return;
    }
    connect(endpoint, request, true, done);
  }

  /**
   * Sends a request on a connection of its own, so that the response cannot be a late one to an
   * earlier request. Responses name no request.
   */
  public void requestAlone(
      Endpoint endpoint, Request request, Consumer<Either<Failure, Response>> done) {
    requestCount++;
    connect(endpoint, request, false, done);
  }

  private void connect(
      Endpoint endpoint,
      Request request,
      boolean isReusable,
      Consumer<Either<Failure, Response>> done) {
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
                    traffic.ifPresent(counter -> channel.pipeline().addLast(counter));
                    channel
                        .pipeline()
                        .addLast(
                            WriteErrorHandler.INSTANCE,
                            new HttpRequestEncoder(),
                            new StrictResponseDecoder())
                        .addLast(AGGREGATOR, new HttpObjectAggregator(MAX_RESPONSE_BYTES));
                  }
                })
            .connect(endpoint.host(), endpoint.port());
    connecting.addListener(
        future -> {
          if (!future.isSuccess()) {
            done.accept(Either.left(new Failure(future.cause().toString(), false)));
            return;
          }
          var connection = new Connection(endpoint, connecting.channel(), isReusable);
          connecting
              .channel()
              .pipeline()
              .addFirst(
                  new UnaskedBytesHandler(() -> connection.pendingCallback.isPresent(), () -> {}));
          connecting.channel().pipeline().addBefore(AGGREGATOR, BUDGET, connection.budgetHandler());
          connecting.channel().pipeline().addLast(connection);
          connection.send(request, done);
        });
  }

  /**
   * A request.
   *
   * @param method HTTP method
   * @param target path and query
   * @param headers additional header fields
   * @param contentType media type of the body, empty if there is no body
   * @param body the body, empty for none
   * @param timeout maximum wait for the response
   */
  public record Request(
      String method,
      String target,
      Map<String, String> headers,
      String contentType,
      byte[] body,
      Duration timeout) {

    /** Returns a GET request. */
    public static Request get(String target, Duration timeout) {
      return new Request("GET", target, Map.of(), "", new byte[0], timeout);
    }

    /** Returns a POST request with a JSON body. */
    public static Request json(String target, byte[] body, Duration timeout) {
      return new Request("POST", target, Map.of(), "application/json", body, timeout);
    }
  }

  /**
   * A response.
   *
   * @param status HTTP status code
   * @param headers the header fields
   * @param body the body
   */
  public record Response(int status, HttpHeaders headers, byte[] body) {}

  /**
   * Why a request has no response.
   *
   * @param reason description of the error
   * @param mayHaveTakenEffect whether the server may have processed the request
   */
  public record Failure(String reason, boolean mayHaveTakenEffect) {}

  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Endpoint endpoint;
    private final Channel channel;
    private final boolean isReusable;
    private final ByteBudget.Share received = responseBytes.open();
    private Optional<Consumer<Either<Failure, Response>>> pendingCallback = Optional.empty();
    private Optional<ScheduledFuture<?>> timeoutTask = Optional.empty();

    Connection(Endpoint endpoint, Channel channel, boolean isReusable) {
      this.endpoint = endpoint;
      this.channel = channel;
      this.isReusable = isReusable;
    }

    /** Returns a handler that fails the request once its response is too long. */
    ChannelInboundHandlerAdapter budgetHandler() {
      return new ChannelInboundHandlerAdapter() {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
          if (pendingCallback.isEmpty()) {
            ReferenceCountUtil.release(message);
          } else if (message instanceof HttpContent content
              && !received.add(content.content().readableBytes())) {
            ReferenceCountUtil.release(message);
            fail("response too long, or too many bytes of responses at once");
          } else {
            context.fireChannelRead(message);
          }
        }
      };
    }

    void send(Request request, Consumer<Either<Failure, Response>> done) {
      pendingCallback = Optional.of(done);
      var httpRequest =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(request.method()),
              request.target(),
              Unpooled.wrappedBuffer(request.body()));
      httpRequest.headers().set(HttpHeaderNames.HOST, endpoint.toString());
      request.headers().forEach((name, value) -> httpRequest.headers().set(name, value));
      if (!request.contentType().isEmpty()) {
        httpRequest.headers().set(HttpHeaderNames.CONTENT_TYPE, request.contentType());
        httpRequest.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
      }
      timeoutTask =
          Optional.of(
              loop.schedule(
                  () -> fail("no response within " + request.timeout().toMillis() + " ms"),
                  request.timeout().toMillis(),
                  TimeUnit.MILLISECONDS));
      channel.writeAndFlush(httpRequest);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      final Optional<Consumer<Either<Failure, Response>>> done = pendingCallback;
      pendingCallback = Optional.empty();
      received.release();
      timeoutTask.ifPresent(running -> running.cancel(false));
      if (done.isEmpty() || response.decoderResult().isFailure()) {
        channel.close();
        done.ifPresent(d -> d.accept(Either.left(new Failure("malformed response", true))));
        return;
      }
      Deque<Connection> available =
          idleConnections.computeIfAbsent(endpoint, any -> new ArrayDeque<>());
      if (isReusable
          && HttpUtil.isKeepAlive(response)
          && available.size() < MAX_IDLE_PER_ENDPOINT) {
        available.addLast(this);
      } else {
        channel.close();
      }
      byte[] body = ByteBufUtil.getBytes(response.content());
      done.get()
          .accept(Either.right(new Response(response.status().code(), response.headers(), body)));
    }

    private void fail(String reason) {
      final Optional<Consumer<Either<Failure, Response>>> done = pendingCallback;
      pendingCallback = Optional.empty();
      received.release();
      timeoutTask.ifPresent(running -> running.cancel(false));
      channel.close();
      done.ifPresent(d -> d.accept(Either.left(new Failure(reason, true))));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      Deque<Connection> available = idleConnections.get(endpoint);
      if (available != null) {
        available.remove(this);
      }
      fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
      fail(error.toString());
    }
  }
}
