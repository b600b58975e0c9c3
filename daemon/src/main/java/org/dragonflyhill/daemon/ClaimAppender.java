package org.dragonflyhill.daemon;

import io.netty.buffer.ByteBufUtil;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.ClaimEvent;
import org.dragonflyhill.ports.ClaimRecord;
import org.dragonflyhill.ports.LogPort;
import org.dragonflyhill.ports.PlatformError;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Appends the claim events of a node to the log in batches. At most one append is in flight, and
 * events that arrive in the meantime go into the next batch.
 *
 * <p>A claim is appended at most once. The append of an outcome is retried until the log accepts
 * it, which is safe because {@link org.dragonflyhill.core.ClaimTable} ignores duplicate outcomes.
 * Outcomes are delayed briefly so that they can share an append with later events. Thread-safe; no
 * argument may be null.
 */
final class ClaimAppender implements AutoCloseable {

  /** Maximum number of records in an append. */
  static final int MAX_BATCH_RECORDS = 500;

  /** Maximum length of the queue of claims and of the queue of outcomes. */
  static final int MAX_QUEUED = 10_000;

  /** Maximum length of the records of an append in UTF-8. */
  static final int MAX_BATCH_BYTES = 512 * 1_024;

  private static final Duration OUTCOME_LINGER = Duration.ofMillis(100);
  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(250);
  private static final int MAX_RETRY_DOUBLINGS = 5;

  private final LogPort log;
  private final NodeMetrics metrics;
  private final Deque<QueuedEvent> claims = new ArrayDeque<>();
  private final Deque<QueuedEvent> outcomes = new ArrayDeque<>();
  private final Disposable.Swap flushTimer = Disposables.swap();
  private int consecutiveFailures;
  private boolean isAppending;
  private boolean isFlushScheduled;

  ClaimAppender(LogPort log, NodeMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
    metrics.registerGauge("claims.waiting_outcomes", this::queuedOutcomeCount);
  }

  /** Returns whether the queues have room for another claim and for its outcome. */
  synchronized boolean hasCapacity() {
    return claims.size() < MAX_QUEUED && outcomes.size() < MAX_QUEUED;
  }

  /** Appends an event without retries and returns the log's answer. */
  Mono<Either<PlatformError, Long>> appendOnce(ClaimEvent event) {
    QueuedEvent queuedEvent = QueuedEvent.of(event);
    synchronized (this) {
      claims.add(queuedEvent);
    }
    flush();
    return queuedEvent.result.asMono();
  }

  /** Appends an outcome, with retries until the log accepts it, and returns its offset. */
  Mono<Either<PlatformError, Long>> appendOutcome(ClaimEvent event) {
    QueuedEvent queuedEvent = QueuedEvent.of(event);
    boolean isUrgent = event instanceof ClaimEvent.Released;
    synchronized (this) {
      outcomes.add(queuedEvent);
    }
    if (isUrgent) {
      flush();
    } else {
      scheduleFlush(OUTCOME_LINGER);
    }
    return queuedEvent.result.asMono();
  }

  /** Removes a claim that was not sent yet; returns whether it was removed. */
  synchronized boolean withdraw(String claimId) {
    return claims.removeIf(queuedEvent -> queuedEvent.event.claimId().equals(claimId));
  }

  @Override
  public void close() {
    flushTimer.dispose();
  }

  private synchronized int queuedOutcomeCount() {
    return outcomes.size();
  }

  private void flush() {
    Optional<Batch> batch = startNextBatch();
    batch.ifPresent(this::send);
  }

  private void send(Batch batch) {
    metrics.count("claims.appends");
    metrics.count("claims.appended_records", batch.size());
    log.append(LogPort.CLAIM_STREAM, batch.texts())
        .onErrorResume(error -> Mono.just(Either.left(new PlatformError.Lost(error.toString()))))
        .subscribe(result -> onAppendResult(batch, result));
  }

  private synchronized Optional<Batch> startNextBatch() {
    if (isAppending || (claims.isEmpty() && outcomes.isEmpty())) {
      return Optional.empty();
    }
    int[] batchBytes = {0};
    List<QueuedEvent> nextClaims = removeUpTo(claims, MAX_BATCH_RECORDS, batchBytes);
    List<QueuedEvent> nextOutcomes =
        removeUpTo(outcomes, MAX_BATCH_RECORDS - nextClaims.size(), batchBytes);
    isAppending = true;
    return Optional.of(new Batch(nextClaims, nextOutcomes));
  }

  private static List<QueuedEvent> removeUpTo(
      Deque<QueuedEvent> queue, int limit, int[] batchBytes) {
    List<QueuedEvent> taken = new ArrayList<>();
    while (!queue.isEmpty() && taken.size() < limit) {
      int size = ByteBufUtil.utf8Bytes(queue.peekFirst().text);
      if (batchBytes[0] > 0 && batchBytes[0] + size > MAX_BATCH_BYTES) {
        return taken;
      }
      batchBytes[0] += size;
      taken.add(queue.removeFirst());
    }
    return taken;
  }

  private void onAppendResult(Batch batch, Either<PlatformError, Long> result) {
    if (result.isLeft()) {
      metrics.countRetries("claim_outcome_append", batch.outcomes.size());
    }
    boolean hasClaims;
    Duration flushDelay;
    synchronized (this) {
      isAppending = false;
      consecutiveFailures = result.isLeft() ? consecutiveFailures + 1 : 0;
      flushDelay = result.isLeft() ? retryDelay() : OUTCOME_LINGER;
      if (result.isLeft()) {
        batch.outcomes.reversed().forEach(outcomes::addFirst);
      }
      hasClaims = !claims.isEmpty();
    }
    batch.complete(result);
    if (hasClaims) {
      flush();
    } else {
      scheduleFlush(flushDelay);
    }
  }

  private Duration retryDelay() {
    int doublings = Math.min(consecutiveFailures - 1, MAX_RETRY_DOUBLINGS);
    return INITIAL_RETRY_DELAY.multipliedBy(1L << doublings);
  }

  private void scheduleFlush(Duration delay) {
    synchronized (this) {
      if (isFlushScheduled || outcomes.isEmpty()) {
        return;
      }
      isFlushScheduled = true;
    }
    flushTimer.update(Mono.delay(delay).subscribe(tick -> onFlushTimer()));
  }

  private void onFlushTimer() {
    synchronized (this) {
      isFlushScheduled = false;
    }
    flush();
  }

  private record QueuedEvent(
      ClaimEvent event, String text, Sinks.One<Either<PlatformError, Long>> result) {

    static QueuedEvent of(ClaimEvent event) {
      return new QueuedEvent(event, ClaimRecord.of(event).text(), Sinks.one());
    }
  }

  private record Batch(List<QueuedEvent> claims, List<QueuedEvent> outcomes) {

    int size() {
      return claims.size() + outcomes.size();
    }

    List<String> texts() {
      List<String> texts = new ArrayList<>();
      claims.forEach(queuedEvent -> texts.add(queuedEvent.text));
      outcomes.forEach(queuedEvent -> texts.add(queuedEvent.text));
      return texts;
    }

    void complete(Either<PlatformError, Long> appendResult) {
      for (int i = 0; i < claims.size(); i++) {
        long index = i;
        claims.get(i).result.tryEmitValue(appendResult.map(first -> first + index));
      }
      if (appendResult.isLeft()) {
        return;
      }
      for (int i = 0; i < outcomes.size(); i++) {
        outcomes.get(i).result.tryEmitValue(Either.right(appendResult.get() + claims.size() + i));
      }
    }
  }
}
