package org.dragonflyhill.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Decides which origins of streams a node writes to the log service, and when. All nodes may lose
 * power at once, and with them what they have told each other. Origins are written in batches and
 * only where they are needed: while the service has, or lately had, several software versions.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class StreamOriginBacklog {

  /** Minimum time between two batches of a node. */
  public static final Duration MIN_INTERVAL = Duration.ofMillis(100);

  /** Maximum number of batches per second that all nodes write together. */
  public static final int MAX_BATCHES_PER_SECOND = 100;

  /** Maximum number of origins in a batch. */
  public static final int MAX_BATCH = 500;

  /** Maximum number of streams that are remembered; the oldest ones are dropped first. */
  public static final int MAX_STREAMS = 10_000;

  private final Map<String, Stream> streams = new LinkedHashMap<>();
  private List<String> batch = List.of();
  private Instant lastBatchAt = Instant.MIN;

  /** Records a stream that this node has begun. */
  public void add(String attempt, StreamOrigin origin, Instant now) {
    streams.putIfAbsent(attempt, new Stream(origin, now, false));
    if (streams.size() > MAX_STREAMS) {
      streams.remove(streams.keySet().iterator().next());
    }
  }

  /**
   * Returns the origins to write now, by attempt; none while a batch is being written.
   *
   * @param isNeeded whether the origins of a service's streams are to be written
   * @param maxAge age from which callers take up no stream any more
   * @param nodes number of nodes that write origins
   * @param now present time
   */
  public Map<String, StreamOrigin> nextBatch(
      Predicate<String> isNeeded, Duration maxAge, int nodes, Instant now) {
    removeOlderThan(now.minus(maxAge));
    if (!batch.isEmpty() || isTooEarly(nodes, now)) {
      return Map.of();
    }
    Map<String, StreamOrigin> next = new LinkedHashMap<>();
    streams.forEach(
        (attempt, stream) -> {
          if (next.size() < MAX_BATCH
              && !stream.isWritten()
              && isNeeded.test(stream.origin().service())) {
            next.put(attempt, stream.origin());
          }
        });
    if (!next.isEmpty()) {
      batch = new ArrayList<>(next.keySet());
      lastBatchAt = now;
    }
    return next;
  }

  private boolean isTooEarly(int nodes, Instant now) {
    Duration share = Duration.ofSeconds(nodes).dividedBy(MAX_BATCHES_PER_SECOND);
    Duration interval = share.compareTo(MIN_INTERVAL) > 0 ? share : MIN_INTERVAL;
    return now.isBefore(lastBatchAt.plus(interval));
  }

  /** Records the end of a batch; its origins are written again if it may not be in the log. */
  public void batchEnded(boolean isWritten) {
    if (isWritten) {
      batch.forEach(
          attempt ->
              streams.computeIfPresent(
                  attempt, (id, stream) -> new Stream(stream.origin(), stream.begunAt(), true)));
    }
    batch = List.of();
  }

  /** Has all origins written again, since the log may lack them after a restore. */
  public void logRestored() {
    streams.replaceAll((attempt, stream) -> new Stream(stream.origin(), stream.begunAt(), false));
  }

  private void removeOlderThan(Instant limit) {
    Iterator<Stream> iterator = streams.values().iterator();
    while (iterator.hasNext() && iterator.next().begunAt().isBefore(limit)) {
      iterator.remove();
    }
  }

  private record Stream(StreamOrigin origin, Instant begunAt, boolean isWritten) {}
}
