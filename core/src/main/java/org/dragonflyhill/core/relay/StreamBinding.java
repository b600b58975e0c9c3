package org.dragonflyhill.core.relay;

import java.util.Optional;

/**
 * Binds a stream to the software version that began it, once its caller has received an event. Not
 * thread-safe; no argument may be null.
 */
public final class StreamBinding {

  private boolean isBound;
  private Optional<StreamOrigin> origin = Optional.empty();

  /**
   * Binds the stream to where it began.
   *
   * @param began the origin, empty if the version of the runner that began it is not certain, in
   *     which case no runner may go on with the stream
   */
  public void bind(Optional<StreamOrigin> began) {
    isBound = true;
    origin = began;
  }

  /** Returns whether the stream has begun. */
  public boolean isBound() {
    return isBound;
  }

  /** Returns where the stream began, empty if it has not or if that is not certain. */
  public Optional<StreamOrigin> origin() {
    return origin;
  }

  /** Returns whether a runner of a software version, empty if unknown, may write the stream. */
  public boolean permits(Optional<String> softwareVersion) {
    return !isBound
        || origin.isPresent() && softwareVersion.equals(origin.map(StreamOrigin::softwareVersion));
  }

  /** Returns the version that the stream is bound to, for messages. */
  public String describe() {
    return origin.map(StreamOrigin::softwareVersion).orElse("unknown");
  }
}
