package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import reactor.core.publisher.Mono;

/** An in-memory log with configurable failures of appends and reads. Not thread-safe. */
final class FakeLog implements LogPort {

  enum Fault {
    /** The records are appended, but the response is lost. */
    ANSWER_LOST,
    /** The response is lost, and the records are appended only after those of the next append. */
    APPENDED_LATE,
    /** The request is lost, so nothing is appended and no response arrives. */
    REQUEST_LOST,
    /** The request is not sent. */
    NOT_SENT
  }

  final List<String> records = new ArrayList<>();
  final List<Fault> appendFaults = new ArrayList<>();
  int earliest;
  int readsToFail;
  int appendCount;
  private final List<String> delayedRecords = new ArrayList<>();

  @Override
  public Mono<Either<PlatformError, Long>> append(String stream, List<String> values) {
    return Mono.fromSupplier(() -> appendNow(values));
  }

  @Override
  public Mono<Either<PlatformError, Page>> read(
      String stream, long fromOffset, int limit, Duration wait) {
    return Mono.fromSupplier(() -> readNow(fromOffset, limit));
  }

  private Either<PlatformError, Long> appendNow(List<String> values) {
    appendCount++;
    if (appendFaults.isEmpty()) {
      final long first = records.size();
      records.addAll(values);
      records.addAll(delayedRecords);
      delayedRecords.clear();
      return Either.right(first);
    }
    Fault fault = appendFaults.removeFirst();
    switch (fault) {
      case ANSWER_LOST -> records.addAll(values);
      case APPENDED_LATE -> delayedRecords.addAll(values);
      default -> {}
    }
    return Either.left(
        fault == Fault.NOT_SENT
            ? new PlatformError.NotSent("not sent")
            : new PlatformError.Lost("lost"));
  }

  private Either<PlatformError, Page> readNow(long fromOffset, int limit) {
    if (readsToFail > 0) {
      readsToFail--;
      return Either.left(new PlatformError.NotSent("unreachable"));
    }
    return Either.right(page(fromOffset, limit));
  }

  Page page(long fromOffset, int limit) {
    List<LogRecord> found = new ArrayList<>();
    for (int i = (int) Math.max(fromOffset, earliest); i < records.size(); i++) {
      if (found.size() < limit) {
        found.add(new LogRecord(i, records.get(i)));
      }
    }
    return new Page(earliest, records.size(), found);
  }
}
