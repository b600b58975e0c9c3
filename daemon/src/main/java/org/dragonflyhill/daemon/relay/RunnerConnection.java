package org.dragonflyhill.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * A connection to a runner, with one request on it at a time.
 *
 * <p>An answer that bears another request's id came late and is skipped; bytes that come while no
 * request waits close the connection.
 */
final class RunnerConnection extends ChannelInboundHandlerAdapter {

  /** Foreign answers that are skipped before the connection is given up. */
  private static final int MAX_FOREIGN_ANSWERS = 3;

  private final RunnerConnections owner;
  private final Channel channel;
  private Optional<Exchange> exchange = Optional.empty();
  private Optional<ChannelFuture> written = Optional.empty();
  private String requestId = "";
  private boolean isHeadRead;
  private boolean isSkipping;
  private boolean isReusable;
  private boolean isReset;
  private int foreignAnswers;
  private Duration idleTimeout;
  private Instant idleSince = Instant.EPOCH;

  RunnerConnection(RunnerConnections owner, Channel channel, Duration idleTimeout) {
    this.owner = owner;
    this.channel = channel;
    this.idleTimeout = idleTimeout;
  }

  Channel channel() {
    return channel;
  }

  /** Returns whether the runner surely still keeps this idle connection open. */
  boolean isFresh(Instant now) {
    return channel.isActive() && Duration.between(idleSince, now).compareTo(idleTimeout) < 0;
  }

  void idle(Instant now) {
    idleSince = now;
  }

  /** Sends a request, whose body it releases. */
  void send(DefaultHttpRequest head, ByteBuf body, String id, Exchange newExchange) {
    exchange = Optional.of(newExchange);
    requestId = id;
    isHeadRead = false;
    isSkipping = false;
    isReusable = false;
    foreignAnswers = 0;
    channel.write(head);
    written = Optional.of(channel.writeAndFlush(new DefaultLastHttpContent(body)));
  }

  /** Gives the running request up: closes the connection, which tells the runner to stop. */
  void cancel() {
    exchange = Optional.empty();
    channel.close();
  }

  void pauseReading(boolean isPaused) {
    channel.config().setAutoRead(!isPaused);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (exchange.isEmpty() || !(message instanceof HttpObject part)) {
        channel.close();
        return;
      }
      if (part.decoderResult().isFailure()) {
        fail("malformed answer");
        return;
      }
      exchange.get().heard();
      if (part instanceof HttpResponse head) {
        head(head);
      }
      if (part instanceof HttpContent content) {
        content(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void head(HttpResponse head) {
    int status = head.status().code();
    if (status < 200) {
      isSkipping = true;
      return;
    }
    CallDialect.ReplyHead reply = owner.dialect().reply(head);
    boolean isOurs = reply.requestId().filter(requestId::equals).isPresent();
    if (!isOurs && !(requestId.isEmpty() && reply.requestId().isEmpty())) {
      isSkipping = true;
      foreignAnswers++;
      owner.foreignAnswer(reply.requestId().orElse(""));
      if (foreignAnswers > MAX_FOREIGN_ANSWERS) {
        fail("answers of other requests only");
      }
      return;
    }
    isSkipping = false;
    isHeadRead = true;
    reply.idleTimeout().ifPresent(timeout -> idleTimeout = owner.usableIdleTime(timeout));
    boolean hasEnd = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    isReusable =
        hasEnd
            && !head.headers()
                .containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    exchange.get().head(head, reply);
  }

  private void content(HttpContent content) {
    boolean isLast = content instanceof LastHttpContent;
    if (isSkipping) {
      isSkipping = !isLast;
      return;
    }
    if (exchange.isEmpty() || !isHeadRead) {
      return;
    }
    if (isLast && isReset) {
      fail("connection reset");
      return;
    }
    if (content.content().isReadable()) {
      exchange.get().content(content.content());
    }
    if (isLast) {
      end();
    }
  }

  private void end() {
    Optional<Exchange> ended = exchange;
    exchange = Optional.empty();
    // A runner that answers before it has read the whole body is owed the rest of it.
    boolean isWritten = written.map(ChannelFuture::isSuccess).orElse(false);
    if (isReusable && isWritten && channel.isActive()) {
      owner.release(this);
    } else {
      channel.close();
    }
    ended.ifPresent(Exchange::end);
  }

  private void fail(String reason) {
    Optional<Exchange> failed = exchange;
    exchange = Optional.empty();
    channel.close();
    failed.ifPresent(listener -> listener.failed(reason));
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    exchange.ifPresent(Exchange::flush);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    owner.closed(this);
    fail(isReset ? "connection reset" : "connection closed");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
    isReset = true;
    if (!(error instanceof java.io.IOException)) {
      fail("error on the connection: " + error);
    }
  }

  /** Follows one request on a connection. */
  interface Exchange {
    /** Anything came from the runner. */
    void heard();

    /** The head of the answer. */
    void head(HttpResponse head, CallDialect.ReplyHead reply);

    /** A part of the body, valid during the call only. */
    void content(ByteBuf bytes);

    /** All that came at once was handed over. */
    void flush();

    /** The answer is whole. */
    void end();

    /** The answer breaks off, or none comes. */
    void failed(String reason);
  }
}
