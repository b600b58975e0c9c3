package org.dragonflyhill.daemon;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Reads the body of a request, with limits on size and time.
 *
 * <p>The rest of a body that is too large is still read and discarded, up to a second limit,
 * because a caller that is still sending would otherwise never see the response. Not thread-safe;
 * each request has its own instance.
 */
final class RequestBody {

  /** Multiple of the size limit up to which a larger body is read and discarded. */
  private static final int MAX_DISCARD_FACTOR = 4;

  private final int maxBytes;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private long received;
  private boolean isComplete;

  private RequestBody(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Reads the body.
   *
   * @param request the HTTP request
   * @param maxBytes maximum size of the body, in bytes
   * @param timeout time limit for receiving the body
   */
  static Mono<Result> read(HttpServerRequest request, int maxBytes, Duration timeout) {
    RequestBody body = new RequestBody(maxBytes);
    if (body.isRefusedBeforeSending(request)) {
      return Mono.just(new Result(Either.left(body.tooLarge()), false));
    }
    return request
        .receive()
        .asByteArray()
        .takeUntil(chunk -> !body.add(chunk))
        .doOnComplete(() -> body.isComplete = body.received <= body.discardLimit())
        .then(Mono.fromSupplier(body::result))
        .timeout(timeout)
        .onErrorResume(TimeoutException.class, error -> Mono.just(body.timedOut(timeout)));
  }

  /** Returns whether the caller waits for permission to send a body that is too large. */
  private boolean isRefusedBeforeSending(HttpServerRequest request) {
    String length = request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH, "0");
    return request.requestHeaders().contains(HttpHeaderNames.EXPECT)
        && length.length() < 19
        && Long.parseLong(length) > maxBytes;
  }

  /** Adds a chunk of the body; returns whether to read on. */
  private boolean add(byte[] chunk) {
    received += chunk.length;
    if (received <= maxBytes) {
      bytes.writeBytes(chunk);
    } else {
      bytes.reset();
    }
    return received <= discardLimit();
  }

  private long discardLimit() {
    return (long) maxBytes * MAX_DISCARD_FACTOR;
  }

  private Result result() {
    return new Result(received > maxBytes ? Either.left(tooLarge()) : text(), isComplete);
  }

  private Refusal tooLarge() {
    return Refusal.notRun(
        RefusalReason.BODY_TOO_LARGE, "the body is larger than " + maxBytes + " bytes");
  }

  private Result timedOut(Duration timeout) {
    Refusal refusal =
        Refusal.notRun(
            RefusalReason.REQUEST_TIMEOUT,
            "the body did not arrive within " + timeout.toMillis() + " ms");
    return new Result(Either.left(refusal), false);
  }

  private Either<Refusal, String> text() {
    try {
      return Either.right(
          StandardCharsets.UTF_8
              .newDecoder()
              .decode(ByteBuffer.wrap(bytes.toByteArray()))
              .toString());
    } catch (CharacterCodingException e) {
      return Either.left(Refusal.notRun(RefusalReason.BAD_REQUEST, "the body is not valid UTF-8"));
    }
  }

  /**
   * Result of reading a body.
   *
   * @param text text of the body, or why it is refused
   * @param isComplete whether the body was received to its end, so that the connection can be
   *     reused
   */
  record Result(Either<Refusal, String> text, boolean isComplete) {}
}
