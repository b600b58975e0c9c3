package org.dragonflyhill.daemon.relay;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;

/** Log of the lease on a duty. Nothing is null; results are handed over on the event loop. */
public interface LeaseLog {

  /** Follows the newest record of the lease, its holder and the log's end. */
  void follow(Consumer<Tail> onChange);

  /** Appends a record of a holder if the log ends at an offset. */
  void append(long expectedEnd, String holder, Consumer<Either<String, Outcome>> done);

  /**
   * State of the log.
   *
   * @param endOffset offset behind the last record
   * @param holder holder named by the newest record, empty if there is none
   */
  record Tail(long end, Optional<String> holder) {}

  /** What became of an append. */
  sealed interface Outcome {
    /**
     * The record is in the log.
     *
     * @param offset its offset
     */
    record Appended(long offset) implements Outcome {}

    /** Another record came before; nothing was done. */
    record Conflict() implements Outcome {}
  }
}
