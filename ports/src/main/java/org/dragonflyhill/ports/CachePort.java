package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import reactor.core.publisher.Mono;

/** The prefix cache of a model runner. Thread-safe; nothing is null. */
public interface CachePort {

  /**
   * Reads cache events, which come late and with gaps.
   *
   * @param address {@code host:port} of the runner
   * @param fromSequence first sequence number wanted
   * @param wait how long the runner may wait for an event to come
   */
  Mono<Either<PlatformError, Events>> events(String address, long fromSequence, Duration wait);

  /** Returns all pieces that the runner holds, to start over after a gap. */
  Mono<Either<PlatformError, Contents>> contents(String address);

  /**
   * Has a runner write a piece of its cache to a store. Only an answer says that the object is
   * whole.
   *
   * @param address {@code host:port} of the runner
   * @param request what to write, and where
   * @param timeout time limit of the call
   */
  Mono<Either<PlatformError, ExportResult>> export(
      String address, ExportRequest request, Duration timeout);

  /**
   * What a runner should write to a store.
   *
   * @param pieceId id of the piece
   * @param weightVersion version of the weights that computed it
   * @param storeAddress {@code host:port} of the store
   * @param objectName name of the object to create
   */
  record ExportRequest(
      String pieceId, String weightVersion, String storeAddress, String objectName) {}

  /**
   * What a runner wrote.
   *
   * @param length bytes of the object
   * @param sha256 lower-case hexadecimal digest of the object
   */
  record ExportResult(long length, String sha256) {}

  /**
   * Cache events in order.
   *
   * @param next sequence number to read from next
   * @param events the events; a jump in their numbers is a gap
   */
  record Events(long next, List<Event> events) {}

  /**
   * One cache event.
   *
   * @param sequence its number
   * @param pieceId the piece
   * @param isPresent whether the piece was stored, else it was evicted
   */
  record Event(long sequence, String pieceId, boolean isPresent) {}

  /**
   * What a runner holds.
   *
   * @param nextSequence sequence number of the first event after this answer
   * @param pieceIds ids of the pieces
   * @param verifiesImports whether the engine checks length and digest of what it imports; it gets
   *     no imports otherwise
   */
  record Contents(long nextSequence, List<String> pieceIds, boolean verifiesImports) {}
}
