package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import reactor.core.publisher.Mono;

/** Access to the append-only log service of the platform. Thread-safe; nothing is null. */
public interface LogPort {

  /** Stream of configuration changes and snapshots. */
  String CONFIGURATION_STREAM = "configuration";

  /** Stream of claims on non-repeatable requests. */
  String CLAIM_STREAM = "claims";

  /** Stream of leases. */
  String LEASE_STREAM = "leases";

  /**
   * Appends records at consecutive offsets and returns the offset of the first. After {@link
   * PlatformError.Lost} it is unknown whether they were appended.
   */
  Mono<Either<PlatformError, Long>> append(String stream, List<String> records);

  /**
   * Reads records, starting at an offset.
   *
   * @param stream name of the stream
   * @param fromOffset first offset to return
   * @param limit maximum number of records to return
   * @param wait how long the service may delay its response until there is a record
   */
  Mono<Either<PlatformError, Page>> read(String stream, long fromOffset, int limit, Duration wait);

  /**
   * A page of records of a stream.
   *
   * @param earliest first offset that has not expired
   * @param next offset that the next appended record will get
   * @param records records in order of offset
   */
  record Page(long earliest, long next, List<LogRecord> records) {}

  /**
   * A record of a stream.
   *
   * @param offset offset of the record in the stream
   * @param value text of the record
   */
  record LogRecord(long offset, String value) {}
}
