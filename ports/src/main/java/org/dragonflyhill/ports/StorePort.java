package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.PieceManifest;
import reactor.core.publisher.Mono;

/**
 * Control of a store of kept KV cache. Nodes never move cache bytes: runners write and read the
 * objects. Thread-safe; nothing is null.
 */
public interface StorePort {

  /**
   * Returns manifests in order of piece id.
   *
   * @param address {@code host:port} of the store
   * @param after piece id behind which the page starts, empty for the first page
   * @param limit most manifests of a page
   */
  Mono<Either<PlatformError, ManifestPage>> listManifests(String address, String after, int limit);

  /**
   * Returns changes of the manifests.
   *
   * @param address {@code host:port} of the store
   * @param epoch epoch that the numbers belong to
   * @param from number of the first change wanted
   * @param limit most changes of a page
   */
  Mono<Either<PlatformError, ChangePage>> changes(
      String address, String epoch, long from, int limit);

  /** Returns the manifest of a piece, or an empty result if there is none. */
  Mono<Either<PlatformError, Optional<PieceManifest>>> findManifest(String address, String pieceId);

  /** Lists a piece; refused with 409 if it is listed already. */
  Mono<Either<PlatformError, Boolean>> putManifest(String address, PieceManifest manifest);

  /** Unlists a piece, if its manifest still names the object. */
  Mono<Either<PlatformError, Boolean>> deleteManifest(
      String address, String pieceId, String objectName);

  /** Deletes an object. */
  Mono<Either<PlatformError, Boolean>> deleteObject(String address, String objectName);

  /** Returns objects in order of name. */
  Mono<Either<PlatformError, ObjectPage>> listObjects(String address, String after, int limit);

  /** Returns how full the store is. */
  Mono<Either<PlatformError, Usage>> usage(String address);

  /**
   * A page of manifests.
   *
   * @param epoch changes whenever the numbers of changes start anew
   * @param nextSequence number of the first change that this page does not show
   * @param manifests the manifests
   * @param isLast whether no page follows
   */
  record ManifestPage(
      String epoch, long nextSequence, List<PieceManifest> manifests, boolean isLast) {}

  /**
   * Changes in order.
   *
   * @param epoch epoch of the numbers; another one than asked for calls for a new listing
   * @param earliest number of the earliest change still known
   * @param next number to read from next
   * @param changes the changes
   */
  record ChangePage(String epoch, long earliest, long next, List<Change> changes) {}

  /**
   * One change.
   *
   * @param sequence its number
   * @param pieceId the piece
   * @param manifest its manifest, empty if it was unlisted
   */
  record Change(long sequence, String pieceId, Optional<PieceManifest> manifest) {}

  /**
   * A page of objects.
   *
   * @param objects the objects
   * @param isLast whether no page follows
   */
  record ObjectPage(List<StoredObject> objects, boolean isLast) {}

  /**
   * One object.
   *
   * @param name its name
   * @param length its bytes, also of a partly written one
   */
  record StoredObject(String name, long length) {}

  /**
   * How full a store is.
   *
   * @param usedBytes bytes of all objects
   * @param objects number of objects
   * @param manifests number of manifests
   */
  record Usage(long usedBytes, long objects, long manifests) {}
}
