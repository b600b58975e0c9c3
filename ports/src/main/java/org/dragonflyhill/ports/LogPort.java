package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import reactor.core.publisher.Mono;

/** The platform's append-only log service. Thread-safe; nothing is null. */
public interface LogPort {

  /** Stream of configuration changes and snapshots. */
  String CONFIGURATION_STREAM = "configuration";

  /** Stream of claims on non-repeatable requests. */
  String CLAIM_STREAM = "claims";

  /** Stream of leases. */
  String LEASE_STREAM = "leases";

  /**
   * Appends records next to each other and returns the offset of the first. On {@link
   * PlatformError.Lost} they may have been appended.
   */
  Mono<Either<PlatformError, Long>> append(String stream, List<String> records);

  /**
   * Reads records from an offset on.
   *
   * @param stream name of the stream
   * @param fromOffset first offset wanted
   * @param limit most records in one answer
   * @param wait how long the service may wait for a record to come
   */
  Mono<Either<PlatformError, Page>> read(String stream, long fromOffset, int limit, Duration wait);

  /**
   * Records of a stream.
   *
   * @param earliest first offset that the service still keeps
   * @param next offset that the next appended record will get
   * @param records records in offset order
   */
  record Page(long earliest, long next, List<LogRecord> records) {}

  /**
   * One record.
   *
   * @param offset its place in the stream
   * @param value its text
   */
  record LogRecord(long offset, String value) {}
}
