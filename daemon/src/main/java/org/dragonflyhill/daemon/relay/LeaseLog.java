package org.dragonflyhill.daemon.relay;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;
import org.dragonflyhill.core.relay.LogPosition;

/**
 * Append-only log whose newest record names the holder of the lease on a cluster-wide duty.
 *
 * <p>No argument, result or record component is null. Callbacks run on the event loop.
 */
public interface LeaseLog {

  /** Calls a listener with the present tail of the log, and again whenever the tail changes. */
  void follow(Consumer<Tail> onChange);

  /**
   * Appends a record that names a holder, but only if the log still ends at an expected position.
   */
  void append(LogPosition expectedEnd, String holder, Consumer<Either<String, Outcome>> done);

  /**
   * End of the log.
   *
   * @param end position after the last record, where the next one is appended
   * @param holder holder that the newest record names, empty if the log has no record
   */
  record Tail(LogPosition end, Optional<String> holder) {}

  /** Result of an append. */
  sealed interface Outcome {
    /**
     * The record was appended.
     *
     * @param position position of the record
     */
    record Appended(LogPosition position) implements Outcome {}

    /** Another record was appended first; the log is unchanged. */
    record Conflict() implements Outcome {}
  }
}
