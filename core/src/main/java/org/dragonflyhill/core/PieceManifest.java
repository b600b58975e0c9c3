package org.dragonflyhill.core;

/**
 * Metadata of a piece of KV cache in a store. It lets a reader verify the bytes of the piece.
 *
 * <p>A manifest is written under the id of the piece once its object is complete, and is never
 * replaced. Readers find an object by its manifest and verify the object's length and digest.
 *
 * <pre>{@code
 * if (manifest.isFor(organisationTag, weightVersion)) {
 *   imports.add(manifest);
 * }
 * }</pre>
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param pieceId id of the piece
 * @param objectName name of the object; every write uses a new name
 * @param length length of the object in bytes
 * @param sha256 lower-case hexadecimal SHA-256 digest of the object
 * @param organisationTag keyed hash of the organisation, see {@link PieceKeys#organisationTag}
 * @param weightVersion version of the model weights that the piece was computed with
 * @param tokens number of tokens in the piece
 * @param position number of pieces before this one in its prompt
 */
public record PieceManifest(
    String pieceId,
    String objectName,
    long length,
    String sha256,
    String organisationTag,
    String weightVersion,
    int tokens,
    int position) {

  /**
   * Returns whether a request may use the piece: its organisation and the weight version that it
   * needs must be those of the piece.
   */
  public boolean isFor(String requestTag, String requestVersion) {
    return organisationTag.equals(requestTag) && weightVersion.equals(requestVersion);
  }
}
