package org.dragonflyhill.daemon;

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
 * Groups the claim events of a node into few appends: one is under way at a time, and what arrives
 * meanwhile goes into the next.
 *
 * <p>A claim is appended at most once. An outcome is appended until the log takes it, because the
 * table ignores a repeated one; it waits a little, so that it can share an append with later
 * events. Thread-safe; no argument may be null.
 */
final class ClaimAppender implements AutoCloseable {

  /** Most records in an append. */
  static final int MAX_BATCH_RECORDS = 500;

  /** Most claims and most outcomes that wait. */
  static final int MAX_WAITING = 10_000;

  private static final int MAX_BATCH_BYTES = 512 * 1_024;
  private static final Duration OUTCOME_LINGER = Duration.ofMillis(100);
  private static final Duration RETRY_PAUSE = Duration.ofMillis(250);
  private static final int MAX_RETRY_DOUBLINGS = 5;

  private final LogPort log;
  private final NodeMetrics metrics;
  private final Deque<Item> claims = new ArrayDeque<>();
  private final Deque<Item> outcomes = new ArrayDeque<>();
  private final Disposable.Swap timer = Disposables.swap();
  private int failedAppends;
  private boolean isSending;
  private boolean isTimerSet;

  ClaimAppender(LogPort log, NodeMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
    metrics.gauge("claims.waiting_outcomes", this::waitingOutcomes);
  }

  /** Returns whether another request may be claimed; its outcome will find room, too. */
  synchronized boolean hasRoom() {
    return claims.size() < MAX_WAITING && outcomes.size() < MAX_WAITING;
  }

  /** Appends an event once and returns the log's answer. */
  Mono<Either<PlatformError, Long>> appendOnce(ClaimEvent event) {
    Item item = Item.of(event);
    synchronized (this) {
      claims.add(item);
    }
    flush();
    return item.done.asMono();
  }

  /** Appends an outcome until the log takes it and returns its offset. */
  Mono<Either<PlatformError, Long>> appendOutcome(ClaimEvent event) {
    Item item = Item.of(event);
    boolean isUrgent = event instanceof ClaimEvent.Released;
    synchronized (this) {
      outcomes.add(item);
    }
    if (isUrgent) {
      flush();
    } else {
      flushAfter(OUTCOME_LINGER);
    }
    return item.done.asMono();
  }

  /** Takes back a claim that was not sent yet; returns whether it was taken back. */
  synchronized boolean withdraw(String claimId) {
    return claims.removeIf(item -> item.event.claimId().equals(claimId));
  }

  @Override
  public void close() {
    timer.dispose();
  }

  private synchronized int waitingOutcomes() {
    return outcomes.size();
  }

  private void flush() {
    Optional<Batch> batch = startBatch();
    batch.ifPresent(this::send);
  }

  private void send(Batch batch) {
    metrics.count("claims.appends");
    metrics.count("claims.appended_records", batch.size());
    log.append(LogPort.CLAIM_STREAM, batch.texts())
        .onErrorResume(error -> Mono.just(Either.left(new PlatformError.Lost(error.toString()))))
        .subscribe(answer -> finish(batch, answer));
  }

  private synchronized Optional<Batch> startBatch() {
    if (isSending || (claims.isEmpty() && outcomes.isEmpty())) {
      return Optional.empty();
    }
    int[] bytes = {0};
    List<Item> nextClaims = take(claims, MAX_BATCH_RECORDS, bytes);
    List<Item> nextOutcomes = take(outcomes, MAX_BATCH_RECORDS - nextClaims.size(), bytes);
    isSending = true;
    return Optional.of(new Batch(nextClaims, nextOutcomes));
  }

  private static List<Item> take(Deque<Item> from, int limit, int[] bytes) {
    List<Item> taken = new ArrayList<>();
    while (!from.isEmpty() && taken.size() < limit) {
      int size = from.peekFirst().text.length();
      if (bytes[0] > 0 && bytes[0] + size > MAX_BATCH_BYTES) {
        return taken;
      }
      bytes[0] += size;
      taken.add(from.removeFirst());
    }
    return taken;
  }

  private void finish(Batch batch, Either<PlatformError, Long> answer) {
    if (answer.isLeft()) {
      metrics.retried("claim_outcome_append", batch.outcomes.size());
    }
    boolean hasClaims;
    Duration pause;
    synchronized (this) {
      isSending = false;
      failedAppends = answer.isLeft() ? failedAppends + 1 : 0;
      pause = answer.isLeft() ? retryPause() : OUTCOME_LINGER;
      if (answer.isLeft()) {
        batch.outcomes.reversed().forEach(outcomes::addFirst);
      }
      hasClaims = !claims.isEmpty();
    }
    batch.tell(answer);
    if (hasClaims) {
      flush();
    } else {
      flushAfter(pause);
    }
  }

  private Duration retryPause() {
    int doublings = Math.min(failedAppends - 1, MAX_RETRY_DOUBLINGS);
    return RETRY_PAUSE.multipliedBy(1L << doublings);
  }

  private void flushAfter(Duration time) {
    synchronized (this) {
      if (isTimerSet || outcomes.isEmpty()) {
        return;
      }
      isTimerSet = true;
    }
    timer.update(Mono.delay(time).subscribe(tick -> timerRang()));
  }

  private void timerRang() {
    synchronized (this) {
      isTimerSet = false;
    }
    flush();
  }

  private record Item(ClaimEvent event, String text, Sinks.One<Either<PlatformError, Long>> done) {

    static Item of(ClaimEvent event) {
      return new Item(event, ClaimRecord.of(event).text(), Sinks.one());
    }
  }

  private record Batch(List<Item> claims, List<Item> outcomes) {

    int size() {
      return claims.size() + outcomes.size();
    }

    List<String> texts() {
      List<String> texts = new ArrayList<>();
      claims.forEach(item -> texts.add(item.text));
      outcomes.forEach(item -> texts.add(item.text));
      return texts;
    }

    void tell(Either<PlatformError, Long> answer) {
      for (int i = 0; i < claims.size(); i++) {
        long place = i;
        claims.get(i).done.tryEmitValue(answer.map(first -> first + place));
      }
      if (answer.isLeft()) {
        return;
      }
      for (int i = 0; i < outcomes.size(); i++) {
        outcomes.get(i).done.tryEmitValue(Either.right(answer.get() + claims.size() + i));
      }
    }
  }
}
