package org.dragonflyhill.core;

/**
 * Describes a stored piece of KV cache, so that a reader can tell whether the bytes it got are the
 * piece.
 *
 * <p>A manifest is written after the whole object was, under the piece's id, and never replaced.
 * Whoever reads an object goes by the manifest and checks length and digest.
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
 * @param objectName name of the object, used for one write only
 * @param length bytes of the object
 * @param sha256 lower-case hexadecimal digest of the object
 * @param organisationTag keyed hash of the organisation, see {@link PieceKeys#organisationTag}
 * @param weightVersion version of the weights that computed the piece
 * @param tokens tokens of the piece
 * @param position number of pieces before it in its prompt
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

  /** Returns whether a request of an organisation and a weight version may use the piece. */
  public boolean isFor(String requestTag, String requestVersion) {
    return organisationTag.equals(requestTag) && weightVersion.equals(requestVersion);
  }
}
