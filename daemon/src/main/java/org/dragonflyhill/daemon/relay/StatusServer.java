package org.dragonflyhill.daemon.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Function;
import org.dragonflyhill.core.relay.Endpoint;

/** HTTP server for status pages of the node, such as readiness and metrics. */
public final class StatusServer implements AutoCloseable {

  private static final int MAX_REQUEST_BYTES = 4_096;

  private final Channel serverChannel;

  /**
   * Binds the address and starts to serve requests.
   *
   * @param loop event loop on which requests are handled
   * @param address address to bind
   * @param answers returns the response for a path, or empty for an unknown path
   */
  public StatusServer(
      EventLoop loop, Endpoint address, Function<String, Optional<Status>> answers) {
    serverChannel =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MAX_REQUEST_BYTES),
                            new Handler(answers));
                  }
                })
            .bind(address.host(), address.port())
            .syncUninterruptibly()
            .channel();
  }

  @Override
  public void close() {
    serverChannel.close();
  }

  /**
   * Response to a status request.
   *
   * @param code HTTP status code
   * @param text response body
   */
  public record Status(int code, String text) {}

  private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Function<String, Optional<Status>> answers;

    Handler(Function<String, Optional<Status>> answers) {
      this.answers = answers;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      Status status =
          answers
              .apply(request.uri().split("\\?", 2)[0])
              .orElse(new Status(HttpResponseStatus.NOT_FOUND.code(), "no such page\n"));
      var content = Unpooled.copiedBuffer(status.text(), StandardCharsets.UTF_8);
      var response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status.code()), content);
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
      response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
      boolean isKeepAlive = HttpUtil.isKeepAlive(request);
      var written = context.writeAndFlush(response);
      if (!isKeepAlive) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
      context.close();
    }
  }
}
