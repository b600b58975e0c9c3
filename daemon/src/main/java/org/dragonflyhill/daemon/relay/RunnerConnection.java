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
  private static final int MAX_MISMATCHED_RESPONSES = 3;

  private final RunnerConnectionPool pool;
  private final Channel channel;
  private Optional<ResponseListener> listener = Optional.empty();
  private Optional<ChannelFuture> lastWrite = Optional.empty();
  private String requestId = "";
  private boolean hasHeaders;
  private boolean isSkippingResponse;
  private boolean isReusable;
  private boolean hasIoError;
  private int mismatchedResponses;
  private Duration idleTimeout;
  private Instant idleSince = Instant.EPOCH;

  RunnerConnection(RunnerConnectionPool pool, Channel channel, Duration idleTimeout) {
    this.pool = pool;
    this.channel = channel;
    this.idleTimeout = idleTimeout;
  }

  Channel channel() {
    return channel;
  }

  /** Returns whether the runner surely still keeps this idle connection open. */
  boolean isReusableAt(Instant now) {
    return channel.isActive() && Duration.between(idleSince, now).compareTo(idleTimeout) < 0;
  }

  void markIdle(Instant now) {
    idleSince = now;
  }

  /** Sends a request, whose body it releases. */
  void send(DefaultHttpRequest requestHead, ByteBuf body, String id, ResponseListener newListener) {
    listener = Optional.of(newListener);
    requestId = id;
    hasHeaders = false;
    isSkippingResponse = false;
    isReusable = false;
    mismatchedResponses = 0;
    channel.write(requestHead);
    lastWrite = Optional.of(channel.writeAndFlush(new DefaultLastHttpContent(body)));
  }

  /** Gives the running request up: closes the connection, which tells the runner to stop. */
  void cancel() {
    listener = Optional.empty();
    channel.close();
  }

  void pauseReading(boolean isPaused) {
    channel.config().setAutoRead(!isPaused);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (listener.isEmpty() || !(message instanceof HttpObject httpObject)) {
        channel.close();
        return;
      }
      if (httpObject.decoderResult().isFailure()) {
        fail("malformed answer");
        return;
      }
      listener.get().onActivity();
      if (httpObject instanceof HttpResponse responseHead) {
        responseHead(responseHead);
      }
      if (httpObject instanceof HttpContent content) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void responseHead(HttpResponse head) {
    int status = head.status().code();
    if (status < 200) {
      isSkippingResponse = true;
      return;
    }
    HeaderCodec.ResponseHeaders headers = pool.headerCodec().parseResponse(head);
    boolean isMatching = headers.requestId().filter(requestId::equals).isPresent();
    if (!isMatching && !(requestId.isEmpty() && headers.requestId().isEmpty())) {
      isSkippingResponse = true;
      mismatchedResponses++;
      pool.logMismatchedResponse(headers.requestId().orElse(""));
      if (mismatchedResponses > MAX_MISMATCHED_RESPONSES) {
        fail("answers of other requests only");
      }
      return;
    }
    isSkippingResponse = false;
    hasHeaders = true;
    headers.idleTimeout().ifPresent(timeout -> idleTimeout = pool.reuseWindow(timeout));
    boolean isLengthKnown =
        HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    isReusable =
        isLengthKnown
            && !head.headers()
                .containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    listener.get().responseHead(head, headers);
  }

  private void onContent(HttpContent content) {
    boolean isLast = content instanceof LastHttpContent;
    if (isSkippingResponse) {
      isSkippingResponse = !isLast;
      return;
    }
    if (listener.isEmpty() || !hasHeaders) {
      return;
    }
    if (isLast && hasIoError) {
      fail("connection reset");
      return;
    }
    if (content.content().isReadable()) {
      listener.get().onContent(content.content());
    }
    if (isLast) {
      complete();
    }
  }

  private void complete() {
    Optional<ResponseListener> completed = listener;
    listener = Optional.empty();
    // A runner that answers before it has read the whole body is owed the rest of it.
    boolean isWritten = lastWrite.map(ChannelFuture::isSuccess).orElse(false);
    if (isReusable && isWritten && channel.isActive()) {
      pool.release(this);
    } else {
      channel.close();
    }
    completed.ifPresent(ResponseListener::onComplete);
  }

  private void fail(String reason) {
    Optional<ResponseListener> failed = listener;
    listener = Optional.empty();
    channel.close();
    failed.ifPresent(failedListener -> failedListener.onFailure(reason));
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    listener.ifPresent(ResponseListener::onReadComplete);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pool.onClosed(this);
    fail(hasIoError ? "connection reset" : "connection closed");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
    hasIoError = true;
    if (!(error instanceof java.io.IOException)) {
      fail("error on the connection: " + error);
    }
  }

  /** Follows one request on a connection. */
  interface ResponseListener {
    /** Anything came from the runner. */
    void onActivity();

    /** The head of the answer. */
    void responseHead(HttpResponse head, HeaderCodec.ResponseHeaders headers);

    /** A part of the body, valid during the call only. */
    void onContent(ByteBuf bytes);

    /** All that came at once was handed over. */
    void onReadComplete();

    /** The answer is whole. */
    void onComplete();

    /** The answer breaks off, or none comes. */
    void onFailure(String reason);
  }
}
