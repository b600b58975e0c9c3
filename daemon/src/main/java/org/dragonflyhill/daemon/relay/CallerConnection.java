package org.dragonflyhill.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.relay.RelayConfiguration;

/** A caller's connection: reads one request after the other and writes their answers in order. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

  /** Parts of requests behind the running one that are kept before reading pauses. */
  private static final int MAX_QUEUED = 64;

  private final RelayServer server;
  private final Channel channel;
  private final Deque<HttpObject> queued = new ArrayDeque<>();
  private Optional<HttpRequest> head = Optional.empty();
  private CompositeByteBuf body = Unpooled.compositeBuffer();
  private Optional<RelayCall> call = Optional.empty();
  private Instant headBegan;
  private boolean isHeadBegun;
  private Instant idleSince;
  private boolean isClosing;

  CallerConnection(RelayServer server, Channel channel, Instant now) {
    this.server = server;
    this.channel = channel;
    headBegan = now;
    idleSince = now;
  }

  /** Notes that bytes came in, before they are understood. */
  void bytesCame() {
    if (!isHeadBegun && call.isEmpty()) {
      isHeadBegun = true;
      headBegan = server.state().now();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (isClosing || !(message instanceof HttpObject part)) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (call.isPresent()) {
      queued.add(part);
      if (queued.size() > MAX_QUEUED) {
        channel.config().setAutoRead(false);
      }
      return;
    }
    take(part);
  }

  private void take(HttpObject part) {
    try {
      if (part.decoderResult().isFailure()) {
        reject(part.decoderResult().cause());
        return;
      }
      if (part instanceof HttpRequest request) {
        begin(request);
      }
      if (part instanceof HttpContent content && head.isPresent() && !isClosing) {
        content(content);
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void reject(Throwable cause) {
    isClosing = true;
    boolean isTooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    server.refused(isTooLong ? "head_too_long" : "malformed", "", cause.toString());
    answer(
        isTooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST,
        isTooLong ? "the head is too long" : "malformed request",
        Optional.empty(),
        Optional.empty());
  }

  private void begin(HttpRequest request) {
    Optional<String> fault = fault(request);
    if (fault.isPresent()) {
      reject(new IllegalArgumentException(fault.get()));
      return;
    }
    long length = HttpUtil.getContentLength(request, 0L);
    if (length > limits().maxBodyBytes()) {
      tooLarge();
      return;
    }
    head = Optional.of(request);
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  /** Finds what could be read in two ways, or cannot be served. */
  private static Optional<String> fault(HttpRequest request) {
    if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      return Optional.of("only HTTP/1.1 is served");
    }
    HttpHeaders headers = request.headers();
    List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean isChunked =
        encodings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0).strip());
    if (!encodings.isEmpty() && !isChunked) {
      return Optional.of("unknown Transfer-Encoding");
    }
    if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
      return Optional.of("expected one Host");
    }
    if (!request.uri().startsWith("/")) {
      return Optional.of("expected a path");
    }
    return Optional.empty();
  }

  private void content(HttpContent content) {
    if (content.content().isReadable()) {
      body.addComponent(true, content.content().retain());
    }
    if (body.readableBytes() > limits().maxBodyBytes()) {
      tooLarge();
      return;
    }
    if (content instanceof LastHttpContent) {
      final HttpRequest request = head.get();
      final ByteBuf whole = body;
      head = Optional.empty();
      body = Unpooled.compositeBuffer();
      isHeadBegun = false;
      RelayCall begun = new RelayCall(server, this, request, whole, headBegan);
      call = Optional.of(begun);
      begun.start();
    }
  }

  private void tooLarge() {
    isClosing = true;
    server.refused("body_too_large", "", "more than " + limits().maxBodyBytes() + " bytes");
    answer(
        HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
        "the body is too large",
        Optional.empty(),
        Optional.empty());
  }

  private RelayConfiguration.CallerLimits limits() {
    return server.limits();
  }

  /** Writes an answer of the node's own and ends the request. */
  void answer(
      HttpResponseStatus status,
      String text,
      Optional<Duration> retryAfter,
      Optional<String> requestId) {
    ByteBuf content = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
    var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    retryAfter.ifPresent(
        wait ->
            response
                .headers()
                .set(
                    HttpHeaderNames.RETRY_AFTER,
                    String.format(java.util.Locale.ROOT, "%.3f", wait.toNanos() / 1e9)));
    requestId.ifPresent(id -> server.dialect().identify(response.headers(), id));
    markClose(response);
    channel.writeAndFlush(response);
    finished();
  }

  /** Writes the head of a runner's answer. */
  void writeHead(HttpResponse response) {
    markClose(response);
    channel.write(response);
  }

  private void markClose(HttpResponse response) {
    if (isClosing || server.state().isStopping()) {
      isClosing = true;
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  void wantsClose() {
    isClosing = true;
  }

  void writeContent(ByteBuf bytes) {
    channel.write(new DefaultHttpContent(bytes));
  }

  void flush() {
    channel.flush();
  }

  boolean isWritable() {
    return channel.isWritable();
  }

  /** Ends a runner's answer as complete. */
  void endAnswer() {
    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    finished();
  }

  /** Breaks an answer off, so that it does not look complete. */
  void abort() {
    call = Optional.empty();
    isClosing = true;
    channel.close();
  }

  private void finished() {
    call = Optional.empty();
    idleSince = server.state().now();
    if (isClosing) {
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    // Not from within the answer's own call, so that the stack does not grow with each request.
    if (!queued.isEmpty()) {
      channel.eventLoop().execute(this::takeQueued);
    }
  }

  private void takeQueued() {
    while (call.isEmpty() && !queued.isEmpty()) {
      HttpObject part = queued.poll();
      if (isClosing) {
        ReferenceCountUtil.release(part);
      } else {
        take(part);
      }
    }
    channel.config().setAutoRead(true);
  }

  /** Closes the connection if it has been idle, or its head has been coming, for too long. */
  void sweep(Instant now) {
    if (call.isPresent()) {
      return;
    }
    if (isHeadBegun || head.isPresent()) {
      if (Duration.between(headBegan, now).compareTo(limits().headerTimeout()) > 0) {
        isClosing = true;
        server.refused("head_timeout", "", "the request came too slowly");
        answer(
            HttpResponseStatus.REQUEST_TIMEOUT,
            "the request came too slowly",
            Optional.empty(),
            Optional.empty());
      }
      return;
    }
    if (Duration.between(idleSince, now).compareTo(limits().idleTimeout()) > 0) {
      isClosing = true;
      channel.close();
    }
  }

  /** Closes the connection if no request is on it. */
  void closeIfIdle() {
    if (call.isEmpty() && !isHeadBegun && head.isEmpty()) {
      isClosing = true;
      channel.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    call.ifPresent(running -> running.callerWritable(channel.isWritable()));
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    server.closed(this);
    isClosing = true;
    call.ifPresent(RelayCall::callerGone);
    call = Optional.empty();
    queued.forEach(ReferenceCountUtil::release);
    queued.clear();
    body.release();
    body = Unpooled.compositeBuffer();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
    if (!(error instanceof java.io.IOException)) {
      server
          .state()
          .log()
          .note("caller_connection_error", event -> event.with("error", error.toString()));
    }
    channel.close();
  }
}
