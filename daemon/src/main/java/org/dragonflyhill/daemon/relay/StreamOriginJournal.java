package org.dragonflyhill.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.dragonflyhill.core.relay.StreamOrigin;
import org.dragonflyhill.core.relay.StreamOriginBacklog;

/** Writes where streams began at this node to a log, and reads what all nodes have written. */
final class StreamOriginJournal {

  private final StreamOriginLog log;
  private final DecisionLog decisions;
  private final BiConsumer<String, StreamOrigin> onRead;
  private final StreamOriginBacklog backlog = new StreamOriginBacklog();
  private List<Runnable> waiting = new ArrayList<>();
  private boolean isReading;

  /**
   * Creates a journal.
   *
   * @param log log that all nodes share
   * @param decisions log for state changes
   * @param onRead called with each origin that was read, by attempt
   */
  StreamOriginJournal(
      StreamOriginLog log, DecisionLog decisions, BiConsumer<String, StreamOrigin> onRead) {
    this.log = log;
    this.decisions = decisions;
    this.onRead = onRead;
    log.onRestore(backlog::logRestored);
  }

  /** Records a stream that this node has begun. */
  void begun(String attempt, StreamOrigin origin, Instant now) {
    backlog.add(attempt, origin, now);
  }

  /** Writes the origins that are due, as {@link StreamOriginBacklog#nextBatch} decides. */
  void write(Predicate<String> isNeeded, Duration maxAge, int nodes, Instant now) {
    Map<String, StreamOrigin> batch = backlog.nextBatch(isNeeded, maxAge, nodes, now);
    if (!batch.isEmpty()) {
      log.append(batch, backlog::batchEnded);
    }
  }

  /** Reads what is new in the log, and calls back once that is known. */
  void read(Runnable done) {
    waiting.add(done);
    if (!isReading) {
      startRead();
    }
  }

  private void startRead() {
    isReading = true;
    List<Runnable> callbacks = waiting;
    waiting = new ArrayList<>();
    log.readNew(
        origins -> {
          isReading = false;
          if (!origins.isEmpty()) {
            decisions.info("stream_origins_read", event -> event.with("streams", origins.size()));
          }
          origins.forEach(onRead);
          callbacks.forEach(Runnable::run);
          if (!waiting.isEmpty() && !isReading) {
            startRead();
          }
        });
  }
}
