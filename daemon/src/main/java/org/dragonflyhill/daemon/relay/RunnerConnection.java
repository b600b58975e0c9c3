package org.dragonflyhill.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
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
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.StatusLineScanner;

/**
 * Client side of a connection to a runner, which carries one request at a time.
 *
 * <p>A response with the id of another request is a late one and is skipped. Data that arrives
 * while no request is in progress closes the connection.
 */
final class RunnerConnection extends ChannelInboundHandlerAdapter {

  /** Maximum number of responses to other requests that are skipped before the request fails. */
  private static final int MAX_MISMATCHED_RESPONSES = 3;

  /** Maximum number of interim responses (1xx) to a request before it fails. */
  private static final int MAX_INTERIM_RESPONSES = 100;

  /** Maximum number of bytes of skipped bodies before the request fails. */
  private static final int MAX_SKIPPED_BYTES = 4 * 1_024 * 1_024;

  private final RunnerConnectionPool pool;
  private final Endpoint endpoint;
  private final Channel channel;
  private Optional<ResponseListener> listener = Optional.empty();
  private Optional<ChannelFuture> lastWrite = Optional.empty();
  private String requestId = "";
  private boolean hasHeaders;
  private boolean isSkippingResponse;
  private boolean isReusable;
  private BodyFraming framing = BodyFraming.LENGTH;
  private boolean hasIoError;
  private int mismatchedResponses;
  private int interimResponses;
  private int skippedBytes;
  private StatusLineScanner skippedBody = new StatusLineScanner();
  private boolean isIdle;
  private Duration reuseWindow;
  private Instant idleSince = Instant.EPOCH;

  RunnerConnection(
      RunnerConnectionPool pool, Endpoint endpoint, Channel channel, Duration reuseWindow) {
    this.pool = pool;
    this.endpoint = endpoint;
    this.channel = channel;
    this.reuseWindow = reuseWindow;
  }

  Endpoint endpoint() {
    return endpoint;
  }

  Channel channel() {
    return channel;
  }

  /** Returns whether the idle connection is still safe to reuse. */
  boolean isReusableAt(Instant now) {
    return channel.isActive() && Duration.between(idleSince, now).compareTo(reuseWindow) < 0;
  }

  void markIdle(Instant now) {
    isIdle = true;
    idleSince = now;
  }

  /** Sends a request, and releases its body once written. */
  void send(DefaultHttpRequest requestHead, ByteBuf body, String id, ResponseListener newListener) {
    listener = Optional.of(newListener);
    requestId = id;
    isIdle = false;
    hasHeaders = false;
    isSkippingResponse = false;
    isReusable = false;
    mismatchedResponses = 0;
    interimResponses = 0;
    skippedBytes = 0;
    channel.write(requestHead);
    lastWrite = Optional.of(channel.writeAndFlush(new DefaultLastHttpContent(body)));
  }

  /** Returns the number of bytes that the socket has not taken yet. */
  long unwrittenBytes() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  /**
   * Cancels the request in progress by resetting the connection, which makes the runner stop. After
   * an orderly close the rest of the request would still be delivered.
   */
  void cancel() {
    listener = Optional.empty();
    if (channel.isActive()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    channel.close();
  }

  /** Returns a handler that closes this connection if it receives bytes while it is idle. */
  UnaskedBytesHandler idleGuard() {
    return new UnaskedBytesHandler(() -> !isIdle, () -> pool.onStrayResponse(this, ""));
  }

  void pauseReading(boolean isPaused) {
    channel.config().setAutoRead(!isPaused);
  }

  boolean isReadingPaused() {
    return !channel.config().isAutoRead();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (listener.isEmpty() || !(message instanceof HttpObject httpObject)) {
        channel.close();
        return;
      }
      if (httpObject.decoderResult().isFailure()) {
        fail("malformed response");
        return;
      }
      listener.get().onActivity();
      if (httpObject instanceof HttpResponse response) {
        onHeaders(response);
      }
      if (httpObject instanceof HttpContent content) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onHeaders(HttpResponse response) {
    int status = response.status().code();
    if (status < 200) {
      isSkippingResponse = true;
      interimResponses++;
      if (interimResponses > MAX_INTERIM_RESPONSES) {
        fail("more than " + MAX_INTERIM_RESPONSES + " interim responses");
      }
      return;
    }
    HeaderCodec.ResponseHeaders headers = pool.headerCodec().parseResponse(response);
    if (headers.isAmbiguous()) {
      fail("response to several requests");
      return;
    }
    boolean isMatching = headers.requestId().filter(requestId::equals).isPresent();
    if (!isMatching && !(requestId.isEmpty() && headers.requestId().isEmpty())) {
      isSkippingResponse = true;
      mismatchedResponses++;
      skippedBody = new StatusLineScanner();
      pool.logMismatchedResponse(headers.requestId().orElse(""));
      pool.onStrayResponse(this, headers.requestId().orElse(""));
      if (mismatchedResponses > MAX_MISMATCHED_RESPONSES) {
        fail("too many responses to other requests");
      }
      return;
    }
    isSkippingResponse = false;
    hasHeaders = true;
    headers.idleTimeout().ifPresent(timeout -> reuseWindow = pool.reuseWindow(timeout));
    framing = BodyFraming.of(response);
    isReusable =
        framing != BodyFraming.CLOSE
            && !response
                .headers()
                .containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    listener.get().onHeaders(response, headers);
  }

  private void onContent(HttpContent content) {
    boolean isLast = content instanceof LastHttpContent;
    if (isSkippingResponse) {
      isSkippingResponse = !isLast;
      skippedBytes += content.content().readableBytes();
      if (skippedBody.append(ByteBufUtil.getBytes(content.content()))) {
        fail("response to another request was cut off and ran into the next one");
        return;
      }
      if (skippedBytes > MAX_SKIPPED_BYTES) {
        fail("skipped more than " + MAX_SKIPPED_BYTES + " bytes");
      }
      return;
    }
    if (listener.isEmpty() || !hasHeaders) {
      return;
    }
    // The decoder ends a response without a length when the connection closes, even on an error.
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
    // If the runner responds before the request is fully written, the rest of the body would still
    // have to be sent on this connection, so it is not reused.
    boolean isWritten = lastWrite.map(ChannelFuture::isSuccess).orElse(false);
    if (isReusable && isWritten && channel.isActive()) {
      // The response may have ended while reading was paused for its caller.
      pauseReading(false);
      pool.release(this);
    } else {
      channel.close();
    }
    completed.ifPresent(done -> done.onComplete(framing, isWritten));
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
    if (!(error instanceof IOException)) {
      fail("connection error: " + error);
    }
  }

  /** How the end of a response body is recognised. */
  enum BodyFraming {
    LENGTH,
    CHUNKED,
    /** The body has neither a length nor chunks and ends when the connection closes. */
    CLOSE;

    private static BodyFraming of(HttpResponse response) {
      if (HttpUtil.isTransferEncodingChunked(response)) {
        return CHUNKED;
      }
      return HttpUtil.isContentLengthSet(response) ? LENGTH : CLOSE;
    }
  }

  /** Receives the response to one request. */
  interface ResponseListener {
    /** Called for any data from the runner, including skipped responses. */
    void onActivity();

    /** Called with the status line and header fields of the response. */
    void onHeaders(HttpResponse response, HeaderCodec.ResponseHeaders headers);

    /** Called for each chunk of the body. The buffer is only valid during the call. */
    void onContent(ByteBuf bytes);

    /** Called when all data that was read at once has been delivered. */
    void onReadComplete();

    /**
     * Called when the response is complete.
     *
     * @param framing how the end of the body was recognised
     * @param isRequestWritten whether the request was written completely
     */
    void onComplete(BodyFraming framing, boolean isRequestWritten);

    /** Called when the response is interrupted or cannot be received. */
    void onFailure(String reason);
  }
}
