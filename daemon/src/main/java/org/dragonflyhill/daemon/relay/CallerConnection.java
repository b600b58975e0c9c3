package org.dragonflyhill.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
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
import org.dragonflyhill.core.relay.Arrival;
import org.dragonflyhill.core.relay.BodyAdmission;
import org.dragonflyhill.core.relay.ByteBudget;
import org.dragonflyhill.core.relay.RelayConfiguration;
import org.dragonflyhill.core.relay.SlowReaders;

/**
 * Server side of a caller's connection. Handles one request at a time, so that pipelined requests
 * are answered in order.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements SlowReaders.Reader {

  /** Number of messages queued behind the active request above which reading pauses. */
  private static final int MAX_QUEUED_MESSAGES = 64;

  private final RelayServer server;
  private final Channel channel;
  private final boolean isPeer;
  private final Deque<Queued> queuedMessages = new ArrayDeque<>();
  private Optional<HttpRequest> pendingRequest = Optional.empty();
  private final ByteBudget.Share queuedBytes;
  private final BodyBuffer body;
  private final UntakenBytes untaken;

  /** The body of the pending request while it waits for memory. */
  private Optional<IncomingBody> waitingBody = Optional.empty();

  private Optional<RelayedRequest> activeRequest = Optional.empty();
  private final Arrival opening;
  private Arrival requestArrival;

  /** Start of the time in which the caller must send the request. */
  private Instant receivingSince;

  private boolean hasRequestStarted;
  private Instant idleSince;
  private boolean isClosing;

  /** Whether the connection is closed although the caller may still be sending a body. */
  private boolean isBodyUnread;

  /** Whether reading a response is paused until the caller has taken everything. */
  private boolean isHeldBack;

  /**
   * Creates a connection without requests.
   *
   * @param server server that accepted it
   * @param channel channel of the connection
   * @param isPeer whether it is a node that forwards its callers' requests
   * @param now present time
   */
  CallerConnection(RelayServer server, Channel channel, boolean isPeer, Instant now) {
    this.server = server;
    this.channel = channel;
    this.isPeer = isPeer;
    opening = server.arrival(now);
    requestArrival = opening;
    receivingSince = now;
    idleSince = now;
    queuedBytes = server.memory().open();
    body = new BodyBuffer(channel.alloc(), server.memory());
    untaken = new UntakenBytes(channel, server.memory(), now, this::onAllTaken);
  }

  /** Returns whether the requests come from a node that could not serve them itself. */
  boolean isPeer() {
    return isPeer;
  }

  /** Starts the request timeout with the first bytes of a request, before they are decoded. */
  void onBytesReceived() {
    if (!hasRequestStarted && activeRequest.isEmpty()) {
      hasRequestStarted = true;
      Arrival arrival = server.arrival(server.state().now());
      // What is read in the first turn may have lain unread since before the connection was opened.
      boolean isFirstTurn = arrival.notBefore().isBefore(opening.readAt());
      requestArrival = isFirstTurn ? new Arrival(opening.notBefore(), arrival.readAt()) : arrival;
      receivingSince = arrival.readAt();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (isClosing || !(message instanceof HttpObject httpObject)) {
      ReferenceCountUtil.release(message);
      return;
    }
    // What was queued comes first, also while the task that will handle it has not run yet.
    if (activeRequest.isPresent() || waitingBody.isPresent() || !queuedMessages.isEmpty()) {
      queuedMessages.add(new Queued(httpObject, server.arrival(server.state().now())));
      queuedBytes.add(contentBytes(httpObject));
      if (queuedMessages.size() > MAX_QUEUED_MESSAGES || server.memory().isUsedUp()) {
        channel.config().setAutoRead(false);
      }
      return;
    }
    process(httpObject);
  }

  private static int contentBytes(HttpObject httpObject) {
    return httpObject instanceof HttpContent content ? content.content().readableBytes() : 0;
  }

  private void process(HttpObject httpObject) {
    try {
      if (httpObject.decoderResult().isFailure()) {
        rejectMalformed(httpObject.decoderResult().cause());
        return;
      }
      if (httpObject instanceof HttpRequest request) {
        onRequest(request);
      }
      if (httpObject instanceof HttpContent content && pendingRequest.isPresent() && !isClosing) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(httpObject);
    }
  }

  private void rejectMalformed(Throwable cause) {
    isClosing = true;
    boolean isTooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    server.recordRefusal(isTooLong ? "head_too_long" : "malformed", "", cause.toString());
    respond(
        isTooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST,
        isTooLong ? "the head is too long" : "malformed request",
        Optional.empty(),
        Optional.empty());
  }

  private void onRequest(HttpRequest request) {
    Optional<String> error = findProtocolError(request);
    if (error.isPresent()) {
      rejectMalformed(new IllegalArgumentException(error.get()));
      return;
    }
    long length = HttpUtil.getContentLength(request, 0L);
    if (length > maxBodyBytes()) {
      rejectTooLarge();
      return;
    }
    pendingRequest = Optional.of(request);
    IncomingBody incoming = new IncomingBody(request, length);
    if (length > 0 && !server.bodies().admit(incoming, server.state().now())) {
      waitingBody = Optional.of(incoming);
      channel.config().setAutoRead(false);
      return;
    }
    receiveBody(request, length);
  }

  private long maxBodyBytes() {
    return Math.min(limits().maxBodyBytes(), server.memory().maxBodyBytes());
  }

  private void receiveBody(HttpRequest request, long length) {
    body.setReserved(length);
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  /**
   * Returns why a request is rejected: two HTTP parsers may disagree on it, or it uses a feature
   * that is not supported.
   */
  private static Optional<String> findProtocolError(HttpRequest request) {
    if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      return Optional.of("only HTTP/1.1 is supported");
    }
    HttpHeaders headers = request.headers();
    List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean isChunked =
        encodings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0).strip());
    if (!encodings.isEmpty() && !isChunked) {
      return Optional.of("unsupported Transfer-Encoding");
    }
    if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
      return Optional.of("expected exactly one Host header field");
    }
    if (!request.uri().startsWith("/")) {
      return Optional.of("expected a request target that begins with /");
    }
    return Optional.empty();
  }

  private void onContent(HttpContent content) {
    if (body.length() + content.content().readableBytes() > maxBodyBytes()) {
      rejectTooLarge();
      return;
    }
    if (!body.append(content.content())) {
      refuseForMemory(pendingRequest.get());
      return;
    }
    if (content instanceof LastHttpContent) {
      final HttpRequest request = pendingRequest.get();
      final ByteBuf requestBody = body.take();
      pendingRequest = Optional.empty();
      hasRequestStarted = false;
      RelayedRequest relayed =
          new RelayedRequest(server, this, request, requestBody, requestArrival);
      activeRequest = Optional.of(relayed);
      server.steps().start(relayed::start);
    }
  }

  private void refuseForMemory(HttpRequest request) {
    isClosing = true;
    isBodyUnread = true;
    Optional<HeaderCodec.RequestHeaders> headers =
        server.headerCodec().parseRequest(request).toJavaOptional();
    Optional<String> id = headers.flatMap(HeaderCodec.RequestHeaders::id);
    server.recordRefusal(
        "memory_short", id.orElse(""), "the node holds " + server.memory().total() + " bytes");
    respond(
        HttpResponseStatus.SERVICE_UNAVAILABLE,
        "the node holds too many bytes of other requests",
        Optional.of(BodyAdmission.RETRY_AFTER),
        id);
  }

  private void rejectTooLarge() {
    isClosing = true;
    isBodyUnread = true;
    server.recordRefusal("body_too_large", "", "more than " + maxBodyBytes() + " bytes");
    respond(
        HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
        "the body is too large",
        Optional.empty(),
        Optional.empty());
  }

  private RelayConfiguration.CallerLimits limits() {
    return server.limits();
  }

  /** Writes a response that the node itself generates and ends the request. */
  void respond(
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
    requestId.ifPresent(id -> server.headerCodec().setRequestId(response.headers(), id));
    addCloseHeader(response);
    channel.writeAndFlush(response);
    onResponseFinished();
  }

  /** Writes the status line and header fields of a runner's response. */
  void writeHeaders(HttpResponse response) {
    addCloseHeader(response);
    channel.write(response);
  }

  private void addCloseHeader(HttpResponse response) {
    if (isClosing || server.state().isStopping()) {
      isClosing = true;
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  void closeAfterResponse() {
    isClosing = true;
  }

  void writeContent(ByteBuf bytes) {
    untaken.write(bytes);
  }

  void flush() {
    channel.flush();
  }

  /**
   * Returns whether the caller has not closed the connection, as far as can be known: reads what is
   * readable first, since the end of the connection may lie unread. It is not found behind more
   * pipelined requests than the node reads ahead. Must not be called while the channel is read.
   */
  boolean isConnected() {
    if (channel.isActive()
        && channel.config().isAutoRead()
        && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe input) {
      input.read();
    }
    return channel.isActive();
  }

  /**
   * Returns whether more of a response may be read from its runner. While memory is used up, the
   * caller must first have taken everything.
   */
  boolean isWritable() {
    isHeldBack |= server.memory().isUsedUp() && untaken.count() > 0;
    return channel.isWritable() && !isHeldBack;
  }

  private void onAllTaken() {
    if (isHeldBack) {
      isHeldBack = false;
      activeRequest.ifPresent(running -> running.onCallerWritabilityChanged(true));
    }
  }

  /** Marks the end of a runner's complete response. */
  void completeResponse() {
    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    onResponseFinished();
  }

  /** Closes the connection in the middle of a response, so that the caller sees it truncated. */
  void abort() {
    activeRequest = Optional.empty();
    body.clear();
    isClosing = true;
    channel.close();
  }

  private void onResponseFinished() {
    activeRequest = Optional.empty();
    body.clear();
    idleSince = server.state().now();
    if (isBodyUnread) {
      LingeringClose.start(channel);
      return;
    }
    if (isClosing) {
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    // Runs as a separate task: a direct call would deepen the stack with each pipelined request.
    if (!queuedMessages.isEmpty()) {
      channel.eventLoop().execute(this::processQueued);
    }
  }

  private void processQueued() {
    while (activeRequest.isEmpty() && waitingBody.isEmpty() && !queuedMessages.isEmpty()) {
      Queued queued = queuedMessages.poll();
      queuedBytes.remove(contentBytes(queued.message()));
      if (isClosing) {
        ReferenceCountUtil.release(queued.message());
        continue;
      }
      if (queued.message() instanceof HttpRequest) {
        requestArrival = queued.arrival();
        // The caller could not send the rest while the node handled the request before.
        receivingSince = server.state().now();
      }
      process(queued.message());
    }
    if (waitingBody.isEmpty()) {
      channel.config().setAutoRead(true);
    }
  }

  /** Closes the connection if it has been idle, or a request is incomplete, for too long. */
  void checkTimeouts(Instant now) {
    untaken.observe(now);
    if (activeRequest.isPresent() || waitingBody.isPresent() || isBodyUnread) {
      return;
    }
    if (hasRequestStarted || pendingRequest.isPresent()) {
      if (Duration.between(receivingSince, now).compareTo(limits().headerTimeout()) > 0) {
        isClosing = true;
        server.recordRefusal("head_timeout", "", "the request came too slowly");
        respond(
            HttpResponseStatus.REQUEST_TIMEOUT,
            "the request came too slowly",
            Optional.empty(),
            Optional.empty());
      }
      return;
    }
    Duration idleTime = Duration.between(idleSince, now);
    if (idleTime.compareTo(limits().idleTimeout()) > 0) {
      server
          .state()
          .log()
          .info(
              "caller_connection_idle",
              event ->
                  event
                      .with("idle_ms", idleTime.toMillis())
                      .with("limit_ms", limits().idleTimeout().toMillis())
                      .with("queued_messages", queuedMessages.size()));
      isClosing = true;
      channel.close();
    }
  }

  @Override
  public long untakenBytes() {
    return untaken.count();
  }

  @Override
  public Instant progressAt() {
    return untaken.progressAt();
  }

  @Override
  public void end() {
    server.state().metrics().count("relay.slow_readers_ended");
    server
        .state()
        .log()
        .info(
            "slow_reader_ended",
            event ->
                event
                    .with("untaken_bytes", untaken.count())
                    .with("held_bytes", server.memory().total()));
    channel.close();
  }

  /** Closes the connection, which cancels its request. */
  void close() {
    channel.close();
  }

  /** Returns whether it carries a request, active or partly received, or the end of a response. */
  boolean isBusy() {
    return activeRequest.isPresent()
        || !queuedMessages.isEmpty()
        || hasRequestStarted
        || pendingRequest.isPresent()
        || untaken.count() > 0;
  }

  /** Closes the connection if it carries nothing, once what is readable has been read. */
  void closeIfIdle() {
    if (!isBusy() && isConnected() && !isBusy()) {
      isClosing = true;
      channel.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (!isHeldBack) {
      activeRequest.ifPresent(running -> running.onCallerWritabilityChanged(channel.isWritable()));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    server.connectionClosed(this);
    isClosing = true;
    activeRequest.ifPresent(RelayedRequest::onCallerDisconnected);
    activeRequest = Optional.empty();
    queuedMessages.forEach(queued -> ReferenceCountUtil.release(queued.message()));
    queuedMessages.clear();
    queuedBytes.release();
    waitingBody.ifPresent(server.bodies()::remove);
    waitingBody = Optional.empty();
    body.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
    if (!(error instanceof java.io.IOException)) {
      server
          .state()
          .log()
          .info("caller_connection_error", event -> event.with("error", error.toString()));
    }
    channel.close();
  }

  /**
   * What was read while an earlier request was in progress.
   *
   * @param message head, or a part of the body, of a request
   * @param arrival when it was read
   */
  private record Queued(HttpObject message, Arrival arrival) {}

  /** The body of the pending request, which this connection is about to receive. */
  private final class IncomingBody implements BodyAdmission.Body {

    private final HttpRequest request;
    private final long length;

    IncomingBody(HttpRequest request, long length) {
      this.request = request;
      this.length = length;
    }

    @Override
    public long length() {
      return length;
    }

    @Override
    public ByteBudget.Share share() {
      return body.share();
    }

    @Override
    public void onAdmitted() {
      waitingBody = Optional.empty();
      // The caller could not send while the node did not read.
      receivingSince = server.state().now();
      receiveBody(request, length);
      channel.eventLoop().execute(CallerConnection.this::processQueued);
    }

    @Override
    public void onRefused() {
      waitingBody = Optional.empty();
      pendingRequest = Optional.empty();
      refuseForMemory(request);
    }
  }
}
