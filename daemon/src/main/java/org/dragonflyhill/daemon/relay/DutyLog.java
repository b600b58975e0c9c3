package org.dragonflyhill.daemon.relay;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;

/** Log of the lease on a duty. Nothing is null; results are handed over on the event loop. */
public interface DutyLog {

  /** Follows the newest record of the lease, its holder and the log's end. */
  void follow(Consumer<Newest> changed);

  /** Appends a record of a holder if the log ends at an offset. */
  void append(long at, String holder, Consumer<Either<String, Outcome>> done);

  /**
   * State of the log.
   *
   * @param end offset behind the last record
   * @param holder holder named by the newest record, empty if there is none
   */
  record Newest(long end, Optional<String> holder) {}

  /** What became of an append. */
  sealed interface Outcome {
    /**
     * The record is in the log.
     *
     * @param offset its offset
     */
    record Appended(long offset) implements Outcome {}

    /** Another record came before; nothing was done. */
    record Overtaken() implements Outcome {}
  }
}
