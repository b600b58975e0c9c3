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
 * Reads the body of a request within bounds of size and time.
 *
 * <p>A body that is too large is read on without being kept, up to a bound, because a caller that
 * still sends would never see the answer otherwise. Not thread-safe: one for each request.
 */
final class RequestBody {

  /** Multiple of the largest body up to which a larger one is read and thrown away. */
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
   * @param request the request
   * @param maxBytes largest body, in bytes
   * @param timeout time limit of receiving it
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

  /** Returns whether the caller asks before it sends a body that would be too large. */
  private boolean isRefusedBeforeSending(HttpServerRequest request) {
    String length = request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH, "0");
    return request.requestHeaders().contains(HttpHeaderNames.EXPECT)
        && length.length() < 19
        && Long.parseLong(length) > maxBytes;
  }

  /** Adds a block; returns whether more may follow. */
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
   * A body.
   *
   * @param text its text, or why it is refused
   * @param isComplete whether it was received to its end, so that the connection can go on
   */
  record Result(Either<Refusal, String> text, boolean isComplete) {}
}
