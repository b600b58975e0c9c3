package org.dragonflyhill.daemon;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.dragonflyhill.ports.LogPort;
import org.dragonflyhill.ports.PlatformError;
import reactor.core.publisher.Mono;

/** An in-memory log whose appends and reads can be made to fail. Thread-safe. */
final class FakeLog implements LogPort {

  private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

  private final List<String> records = new ArrayList<>();
  private AppendMode appendMode = AppendMode.SUCCEEDS;
  private boolean isReadable = true;
  private int appends;
  private long earliest;

  synchronized void setAppendMode(AppendMode mode) {
    appendMode = mode;
  }

  synchronized void setReadable(boolean readable) {
    isReadable = readable;
  }

  synchronized void add(String record) {
    records.add(record);
  }

  synchronized void expireBefore(long offset) {
    earliest = offset;
  }

  synchronized int appends() {
    return appends;
  }

  synchronized List<String> records() {
    return List.copyOf(records);
  }

  @Override
  public synchronized Mono<Either<PlatformError, Long>> append(String stream, List<String> batch) {
    appends++;
    long first = records.size();
    if (appendMode == AppendMode.SUCCEEDS || appendMode == AppendMode.ANSWER_LOST) {
      records.addAll(batch);
    }
    return switch (appendMode) {
      case SUCCEEDS -> Mono.just(Either.right(first));
      case ANSWER_LOST, REQUEST_LOST -> Mono.just(Either.left(new PlatformError.Lost("lost")));
      case REFUSED -> Mono.just(Either.left(new PlatformError.NotSent("refused")));
      case HANGS -> Mono.never();
    };
  }

  @Override
  public Mono<Either<PlatformError, Page>> read(
      String stream, long fromOffset, int limit, Duration wait) {
    Mono<Long> pause = wait.isZero() ? Mono.just(0L) : Mono.delay(POLL_INTERVAL);
    return pause.map(tick -> page(fromOffset, limit));
  }

  private synchronized Either<PlatformError, Page> page(long fromOffset, int limit) {
    if (!isReadable) {
      return Either.left(new PlatformError.Lost("no answer"));
    }
    List<LogRecord> page = new ArrayList<>();
    long from = Math.max(fromOffset, earliest);
    for (long offset = from; offset < records.size() && page.size() < limit; offset++) {
      page.add(new LogRecord(offset, records.get((int) offset)));
    }
    return Either.right(new Page(earliest, records.size(), page));
  }

  /** Result of an append. */
  enum AppendMode {
    SUCCEEDS,
    ANSWER_LOST,
    REQUEST_LOST,
    REFUSED,
    HANGS
  }
}
