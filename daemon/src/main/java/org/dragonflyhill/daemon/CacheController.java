package org.dragonflyhill.daemon;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dragonflyhill.core.ConfigurationObject;
import org.dragonflyhill.core.PieceIndex;
import org.dragonflyhill.core.PieceKeys;
import org.dragonflyhill.ports.CachePort;
import org.dragonflyhill.ports.PlatformError;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Keeps the index of cached pieces up to date by polling the runners' cache events.
 *
 * <p>Thread-safe. Arguments must not be null.
 */
public final class CacheController implements AutoCloseable {

  private static final Duration POLL_INTERVAL = Duration.ofMillis(250);
  private static final int MAX_CONCURRENT_POLLS = 32;

  private final ConfigurationController configuration;
  private final CachePort caches;
  private final NodeMetrics metrics;
  private final PieceIndex index = new PieceIndex();
  private final Map<String, Long> nextSequences = new HashMap<>();
  private final Set<String> verifyingRunners = new HashSet<>();
  private Polling polling = Polling.NONE;

  /** Creates a controller; {@link #start} starts the polling. */
  public CacheController(
      ConfigurationController configuration, CachePort caches, NodeMetrics metrics) {
    this.configuration = configuration;
    this.caches = caches;
    this.metrics = metrics;
    metrics.registerGauge("cache.index_entries", this::indexSize);
  }

  /** Starts polling the runners. */
  public synchronized void start() {
    polling = Polling.every(POLL_INTERVAL, "cache events", this::pollAll);
  }

  /**
   * Returns how many leading pieces of a prompt a runner probably has in its cache.
   *
   * @param runner name of the runner
   * @param fingerprints the prompt's fingerprints from {@link PieceIndex#fingerprints}
   */
  public synchronized int prefixPieces(String runner, long[] fingerprints) {
    return index.prefixPieces(runner, fingerprints);
  }

  /** Returns whether a runner reports that it verifies the length and digest of imported pieces. */
  public synchronized boolean verifiesImports(String runner) {
    return verifyingRunners.contains(runner);
  }

  /** Records that a runner computed the pieces of a prompt. */
  public synchronized void recordComputed(String runner, List<PieceKeys.Piece> pieces) {
    pieces.forEach(piece -> index.add(runner, piece.id()));
  }

  @Override
  public synchronized void close() {
    polling.close();
  }

  private synchronized long indexSize() {
    return index.size();
  }

  private Mono<Void> pollAll() {
    List<ConfigurationObject.Runner> runners =
        configuration.state().all(ConfigurationObject.Runner.class);
    forgetRemovedRunners(runners);
    return Flux.fromIterable(runners).flatMap(this::poll, MAX_CONCURRENT_POLLS).then();
  }

  private synchronized void forgetRemovedRunners(List<ConfigurationObject.Runner> runners) {
    Set<String> removed = new HashSet<>(nextSequences.keySet());
    runners.forEach(runner -> removed.remove(runner.name()));
    removed.forEach(nextSequences::remove);
    removed.forEach(index::removeHolder);
    verifyingRunners.removeAll(removed);
  }

  private Mono<Void> poll(ConfigurationObject.Runner runner) {
    long from;
    synchronized (this) {
      from = nextSequences.getOrDefault(runner.name(), -1L);
    }
    if (from < 0) {
      return resync(runner);
    }
    return caches
        .events(runner.address(), from, Duration.ZERO)
        .flatMap(answer -> answer.isRight() ? apply(runner, from, answer.get()) : Mono.empty());
  }

  private Mono<Void> apply(ConfigurationObject.Runner runner, long from, CachePort.Events events) {
    if (hasGap(from, events)) {
      metrics.count("cache.event_gaps");
      return resync(runner);
    }
    synchronized (this) {
      for (CachePort.Event event : events.events()) {
        if (event.isPresent()) {
          index.add(runner.name(), event.pieceId());
        } else {
          index.remove(runner.name(), event.pieceId());
        }
      }
      nextSequences.put(runner.name(), events.next());
    }
    return Mono.empty();
  }

  private static boolean hasGap(long from, CachePort.Events events) {
    long expected = from;
    for (CachePort.Event event : events.events()) {
      if (event.sequence() != expected) {
        return true;
      }
      expected++;
    }
    return events.next() != expected;
  }

  private Mono<Void> resync(ConfigurationObject.Runner runner) {
    return caches
        .contents(runner.address())
        .doOnNext(answer -> replace(runner.name(), answer))
        .then();
  }

  private synchronized void replace(
      String runner, Either<PlatformError, CachePort.Contents> answer) {
    if (answer.isRight()) {
      index.replace(runner, answer.get().pieceIds());
      nextSequences.put(runner, answer.get().nextSequence());
      recordVerifiesImports(runner, answer.get().verifiesImports());
    }
  }

  private void recordVerifiesImports(String runner, boolean verifiesImports) {
    if (verifiesImports) {
      verifyingRunners.add(runner);
    } else {
      verifyingRunners.remove(runner);
    }
  }
}
