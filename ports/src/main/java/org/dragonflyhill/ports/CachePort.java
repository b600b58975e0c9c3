package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import reactor.core.publisher.Mono;

/** Access to the prefix cache of a model runner. Thread-safe; nothing is null. */
public interface CachePort {

  /**
   * Reads cache events. Events may arrive late, and some may be missing.
   *
   * @param address {@code host:port} of the runner
   * @param fromSequence first sequence number to return
   * @param wait how long the runner may delay its response until there is an event
   */
  Mono<Either<PlatformError, Events>> events(String address, long fromSequence, Duration wait);

  /** Returns all pieces in the cache, to rebuild an index after events were missed. */
  Mono<Either<PlatformError, Contents>> contents(String address);

  /**
   * Tells a runner to write a piece of its cache to a store. The object is complete only if the
   * runner responds with an {@link ExportResult}.
   *
   * @param address {@code host:port} of the runner
   * @param request the piece to write and the store to write to
   * @param timeout time limit for the call
   */
  Mono<Either<PlatformError, ExportResult>> export(
      String address, ExportRequest request, Duration timeout);

  /**
   * Request to write a piece to a store.
   *
   * @param pieceId id of the piece
   * @param weightVersion version of the model weights that computed the piece
   * @param storeAddress {@code host:port} of the store
   * @param objectName name of the object to create
   */
  record ExportRequest(
      String pieceId, String weightVersion, String storeAddress, String objectName) {}

  /**
   * The object that a runner wrote.
   *
   * @param length length of the object in bytes
   * @param sha256 lower-case hexadecimal SHA-256 digest of the object
   */
  record ExportResult(long length, String sha256) {}

  /**
   * Cache events in order of sequence number.
   *
   * @param next sequence number from which to continue reading
   * @param events the events; events are missing where the sequence numbers are not consecutive
   */
  record Events(long next, List<Event> events) {}

  /**
   * One cache event.
   *
   * @param sequence sequence number of the event
   * @param pieceId id of the piece
   * @param isPresent true if the piece was added to the cache, false if it was evicted
   */
  record Event(long sequence, String pieceId, boolean isPresent) {}

  /**
   * Contents of the cache of a runner.
   *
   * @param nextSequence sequence number of the first event that these contents do not include
   * @param pieceIds ids of the pieces
   * @param verifiesImports whether the engine verifies the length and digest of imported pieces;
   *     other runners are not asked to import
   */
  record Contents(long nextSequence, List<String> pieceIds, boolean verifiesImports) {}
}
