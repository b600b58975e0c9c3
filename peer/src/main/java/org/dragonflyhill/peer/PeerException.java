package org.dragonflyhill.peer;

/** Carries a {@link PeerError} through a reactive pipeline. It does not leave this package. */
final class PeerException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient PeerError error;

  PeerException(PeerError error) {
    super(error.detail(), null, false, false);
    this.error = error;
  }

  PeerError error() {
    return error;
  }
}
