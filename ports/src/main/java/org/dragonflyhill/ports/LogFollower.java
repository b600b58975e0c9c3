package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * Reads a stream of the log from an offset on, page after page, for as long as it is open.
 *
 * <pre>{@code
 * LogFollower follower = new LogFollower(log, "claims", 0, page -> fold(page));
 * follower.start();
 * }</pre>
 *
 * <p>Pages are handed over one at a time. A failed read is tried again after a pause. Thread-safe;
 * no argument may be null.
 */
public final class LogFollower implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(LogFollower.class);
  private static final int PAGE_RECORDS = 1_000;
  private static final Duration READ_WAIT = Duration.ofSeconds(5);
  private static final Duration RETRY_DELAY = Duration.ofMillis(200);

  private final LogPort log;
  private final String stream;
  private final PageHandler handler;
  private final AtomicLong next;
  private volatile boolean isCaughtUp;
  private Disposable subscription = () -> {};

  /**
   * Creates a follower that does not read yet.
   *
   * @param log the log service
   * @param stream name of the stream
   * @param fromOffset first offset to read
   * @param handler takes each page
   */
  public LogFollower(LogPort log, String stream, long fromOffset, PageHandler handler) {
    this.log = log;
    this.stream = stream;
    this.handler = handler;
    next = new AtomicLong(fromOffset);
  }

  /** Starts to read. */
  public synchronized void start() {
    subscription =
        Mono.defer(() -> log.read(stream, next.get(), PAGE_RECORDS, readWait()))
            .flatMap(this::handleRead)
            .onErrorResume(this::retryAfterError)
            .repeat()
            .subscribe();
  }

  /** Returns the offset that is read next. */
  public long nextOffset() {
    return next.get();
  }

  /** Goes on from a later offset, for example behind a snapshot; never goes back. */
  public void skipTo(long offset) {
    next.accumulateAndGet(offset, Math::max);
  }

  /** Returns whether the end of the stream was reached at least once. */
  public boolean isCaughtUp() {
    return isCaughtUp;
  }

  @Override
  public synchronized void close() {
    subscription.dispose();
  }

  /** A fault of the handler must not end the following; the page is handed over again. */
  private Mono<Boolean> retryAfterError(Throwable error) {
    LOGGER.error("a page of {} from {} on was not taken", stream, next.get(), error);
    return Mono.delay(RETRY_DELAY).thenReturn(false);
  }

  private Duration readWait() {
    // The first page tells the caller where the stream ends, so it must not wait for a record.
    return isCaughtUp ? READ_WAIT : Duration.ZERO;
  }

  private Mono<Boolean> handleRead(Either<PlatformError, LogPort.Page> read) {
    if (read.isLeft()) {
      handler.onReadFailure(read.getLeft());
      return Mono.delay(RETRY_DELAY).thenReturn(false);
    }
    LogPort.Page page = read.get();
    handler.onPage(page);
    for (LogPort.LogRecord record : page.records()) {
      skipTo(record.offset() + 1);
    }
    skipTo(page.earliest());
    isCaughtUp |= next.get() >= page.next();
    return Mono.just(true);
  }

  /** Takes the pages of a stream. */
  public interface PageHandler {

    /** Takes a page, which may be empty; {@code earliest} tells of expired records. */
    void onPage(LogPort.Page page);

    /** Takes note of a failed read. */
    default void onReadFailure(PlatformError error) {}
  }
}
