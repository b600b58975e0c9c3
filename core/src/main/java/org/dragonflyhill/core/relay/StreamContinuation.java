package org.dragonflyhill.core.relay;

import java.util.Collection;
import java.util.Optional;

/** Decides how to go on with a stream that its caller takes up again. */
public sealed interface StreamContinuation {

  /** Nothing of the stream has reached the caller, so any runner may begin it. */
  record Anew() implements StreamContinuation {}

  /**
   * The stream goes on at runners of one software version.
   *
   * @param origin where it began
   */
  record GoOn(StreamOrigin origin) implements StreamContinuation {}

  /**
   * The stream must not go on.
   *
   * @param reason why not
   */
  record Refused(String reason) implements StreamContinuation {}

  /**
   * Decides how to go on with a stream.
   *
   * @param hasEvents whether the caller has received events of the stream
   * @param known where the stream began, empty if this node and its peers do not know
   * @param soleOrigin where the stream must have begun if only one software version has served for
   *     longer than callers wait, empty if there were several
   * @param organisation name of the caller's organisation, empty if none
   * @param services the services of the route at present
   */
  static StreamContinuation decide(
      boolean hasEvents,
      Optional<StreamOrigin> known,
      Optional<StreamOrigin> soleOrigin,
      String organisation,
      Collection<String> services) {
    Optional<StreamOrigin> own = known.filter(origin -> origin.organisation().equals(organisation));
    if (own.isPresent()) {
      return services.contains(own.get().service())
          ? new GoOn(own.get())
          : new Refused("the stream began at " + own.get().service() + ", not in the route now");
    }
    if (!hasEvents) {
      return new Anew();
    }
    if (known.isEmpty() && soleOrigin.isPresent()) {
      return new GoOn(soleOrigin.get());
    }
    return new Refused("the software version that began the stream is not known");
  }
}
