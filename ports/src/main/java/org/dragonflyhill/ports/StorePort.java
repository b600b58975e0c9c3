package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.PieceManifest;
import reactor.core.publisher.Mono;

/**
 * Manages a store for KV cache pieces: its manifests and objects. Nodes never transfer cache data
 * themselves; runners write and read the objects. Thread-safe; nothing is null.
 */
public interface StorePort {

  /**
   * Returns a page of manifests in order of piece id.
   *
   * @param address {@code host:port} of the store
   * @param after piece id after which the page starts, empty for the first page
   * @param limit maximum number of manifests to return
   */
  Mono<Either<PlatformError, ManifestPage>> listManifests(String address, String after, int limit);

  /**
   * Returns a page of changes to the manifests.
   *
   * @param address {@code host:port} of the store
   * @param epoch epoch of the sequence number {@code from}
   * @param from sequence number of the first change to return
   * @param limit maximum number of changes to return
   */
  Mono<Either<PlatformError, ChangePage>> changes(
      String address, String epoch, long from, int limit);

  /** Returns the manifest of a piece, or an empty result if it has none. */
  Mono<Either<PlatformError, Optional<PieceManifest>>> findManifest(String address, String pieceId);

  /** Writes the manifest of a piece. Refused with status 409 if the piece already has one. */
  Mono<Either<PlatformError, Boolean>> putManifest(String address, PieceManifest manifest);

  /** Deletes the manifest of a piece, if it still refers to the named object. */
  Mono<Either<PlatformError, Boolean>> deleteManifest(
      String address, String pieceId, String objectName);

  /** Deletes an object. */
  Mono<Either<PlatformError, Boolean>> deleteObject(String address, String objectName);

  /** Returns a page of objects in order of name, starting after the name {@code after}. */
  Mono<Either<PlatformError, ObjectPage>> listObjects(String address, String after, int limit);

  /** Returns the space used in the store. */
  Mono<Either<PlatformError, Usage>> usage(String address);

  /**
   * A page of manifests.
   *
   * @param epoch identifies the numbering of changes; a new epoch starts when the numbering does
   * @param nextSequence sequence number of the first change that this page does not reflect
   * @param manifests the manifests
   * @param isLast whether this is the last page
   */
  record ManifestPage(
      String epoch, long nextSequence, List<PieceManifest> manifests, boolean isLast) {}

  /**
   * A page of changes in order of sequence number.
   *
   * @param epoch epoch of the sequence numbers; if it differs from the requested one, the manifests
   *     must be listed again
   * @param earliest sequence number of the earliest change that the store has kept
   * @param next sequence number from which to continue reading
   * @param changes the changes
   */
  record ChangePage(String epoch, long earliest, long next, List<Change> changes) {}

  /**
   * A change to the manifest of a piece.
   *
   * @param sequence sequence number of the change
   * @param pieceId id of the piece
   * @param manifest the new manifest, empty if it was deleted
   */
  record Change(long sequence, String pieceId, Optional<PieceManifest> manifest) {}

  /**
   * A page of objects.
   *
   * @param objects the objects
   * @param isLast whether this is the last page
   */
  record ObjectPage(List<StoredObject> objects, boolean isLast) {}

  /**
   * An object in the store.
   *
   * @param name name of the object
   * @param length number of bytes written so far; the object may be incomplete
   */
  record StoredObject(String name, long length) {}

  /**
   * Space used in a store.
   *
   * @param usedBytes total size of all objects in bytes
   * @param objects number of objects
   * @param manifests number of manifests
   */
  record Usage(long usedBytes, long objects, long manifests) {}
}
