package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * Reads a stream of the log page by page, starting at an offset, until it is closed.
 *
 * <pre>{@code
 * LogFollower follower = new LogFollower(log, "claims", 0, page -> apply(page));
 * follower.start();
 * }</pre>
 *
 * <p>Pages are passed to the handler one at a time. A failed read is retried after a delay.
 * Thread-safe; no argument may be null.
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
   * Creates a follower. It reads nothing until it is started.
   *
   * @param log the log service
   * @param stream name of the stream
   * @param fromOffset first offset to read
   * @param handler processes each page
   */
  public LogFollower(LogPort log, String stream, long fromOffset, PageHandler handler) {
    this.log = log;
    this.stream = stream;
    this.handler = handler;
    next = new AtomicLong(fromOffset);
  }

  /** Starts reading. */
  public synchronized void start() {
    subscription =
        Mono.defer(() -> log.read(stream, next.get(), PAGE_RECORDS, readWait()))
            .flatMap(this::handleRead)
            .onErrorResume(this::retryAfterError)
            .repeat()
            .subscribe();
  }

  /** Returns the offset of the next record to read. */
  public long nextOffset() {
    return next.get();
  }

  /**
   * Continues at a later offset, for example after the records that a snapshot covers. An earlier
   * offset has no effect.
   */
  public void skipTo(long offset) {
    next.accumulateAndGet(offset, Math::max);
  }

  /** Returns whether the end of the stream has been reached at least once. */
  public boolean isCaughtUp() {
    return isCaughtUp;
  }

  @Override
  public synchronized void close() {
    subscription.dispose();
  }

  /** Retries after an exception, such as one of the handler: the page is read and handled again. */
  private Mono<Boolean> retryAfterError(Throwable error) {
    LOGGER.error(
        "failed to handle a page of stream {} from offset {}; retrying", stream, next.get(), error);
    return Mono.delay(RETRY_DELAY).thenReturn(false);
  }

  private Duration readWait() {
    // Until the end of the stream is reached, reads must not wait for new records: an idle stream
    // would otherwise delay isCaughtUp().
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

  /** Processes the pages of a stream. */
  public interface PageHandler {

    /**
     * Processes a page, which may be empty. Records before {@link LogPort.Page#earliest} have
     * expired.
     */
    void onPage(LogPort.Page page);

    /** Called when a read failed, before it is retried. */
    default void onReadFailure(PlatformError error) {}
  }
}
