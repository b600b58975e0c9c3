package org.dragonflyhill.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.dragonflyhill.core.ConfigurationObject.Model;
import org.dragonflyhill.core.ConfigurationObject.Urgency;
import org.dragonflyhill.core.PieceKeys;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.core.RetryBudget;
import org.dragonflyhill.core.StreamAssembler;
import org.dragonflyhill.core.StreamAssembler.Verdict;
import org.dragonflyhill.ports.RunnerPort;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Operators;
import reactor.core.publisher.SynchronousSink;

/**
 * Serves one completion: sends it to a runner, retries or resumes it after a failure, on another
 * runner if possible, and sends a hedge request if an urgent first attempt is slow.
 *
 * <p>Not thread-safe. Use one instance per request; its attempts run one after the other. Arguments
 * must not be null.
 */
final class CompletionRun {

  /** Maximum number of attempts, not counting the hedge request. */
  static final int MAX_ATTEMPTS = 5;

  /** Time without a chunk, after the first one, after which a stream counts as stalled. */
  static final Duration STALL_TIMEOUT = Duration.ofSeconds(5);

  private static final Duration STALL_CHECK_INTERVAL = Duration.ofSeconds(1);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final CompletionDependencies dependencies;
  private final RequestContext context;
  private final Call.Completion call;
  private final Model model;
  private final StreamAssembler assembler;
  private final Set<String> failedRunners = new HashSet<>();
  private final Set<String> wrongVersionRunners = new HashSet<>();
  private int attempts;
  private boolean mayHaveRun;
  private final AtomicLong demand = new AtomicLong();
  private volatile boolean isEnded;
  private volatile Optional<Instant> lastChunkAt = Optional.empty();

  /** Creates a run whose attempts all use the model's current weight version. */
  CompletionRun(
      CompletionDependencies dependencies,
      RequestContext context,
      Call.Completion call,
      Model model) {
    this.dependencies = dependencies;
    this.context = context;
    this.call = call;
    this.model = model;
    this.assembler = new StreamAssembler(context.requestId(), model.weightVersion());
  }

  /** Returns the events of the response; cancelling the flux cancels the request to the runner. */
  Flux<AnswerEvent> events() {
    return Flux.defer(this::start);
  }

  private Flux<AnswerEvent> start() {
    dependencies.budget().recordRequest();
    Instant now = dependencies.clock().instant();
    Duration left = Duration.between(now, context.requiredClassification().deadline());
    return place(now)
        .map(this::attempt)
        .orElseGet(this::noEndpoint)
        .doOnNext(event -> isEnded = !(event instanceof AnswerEvent.Text))
        .takeUntilOther(Mono.delay(left.isNegative() ? Duration.ZERO : left))
        .concatWith(Flux.defer(() -> isEnded ? Flux.empty() : deadlinePassed()));
  }

  private Flux<AnswerEvent> attempt(PlacementController.PlacedAttempt attempt) {
    attempts++;
    lastChunkAt = Optional.empty();
    demand.set(0);
    Instant startedAt = dependencies.clock().instant();
    return runnerEvents(attempt)
        .doOnRequest(this::recordDemand)
        .takeUntilOther(stallSignal())
        .<AnswerEvent>handle((received, sink) -> handleEvent(received, attempt, startedAt, sink))
        .concatWith(Flux.defer(() -> isEnded ? Flux.empty() : stallFailure(attempt)))
        .onErrorResume(AttemptException.class, this::afterFailure);
  }

  private Flux<RunnerEvent> runnerEvents(PlacementController.PlacedAttempt attempt) {
    Flux<RunnerEvent> primary = callRunner(attempt, attempts == 1 ? "first" : "retry");
    if (attempts > 1 || !isHedgeable()) {
      return primary;
    }
    Flux<RunnerEvent> hedge =
        Flux.defer(() -> hedge(attempt))
            .delaySubscription(
                dependencies
                    .hedgeDelay()
                    .delay(estimatedFirstToken(attempt), dependencies.clock().instant()));
    return Flux.firstWithValue(primary, hedge);
  }

  private boolean isHedgeable() {
    RequestContext.Classification classification = context.requiredClassification();
    return classification.urgency() == Urgency.URGENT && classification.isRepeatable();
  }

  /**
   * Sends a copy of the request to another runner. If the copy fails before its first chunk, this
   * emits nothing, so that the attempt does not fail while the first copy may still respond.
   */
  private Flux<RunnerEvent> hedge(PlacementController.PlacedAttempt primary) {
    Set<String> excluded = Set.of(primary.runner().name());
    Optional<PlacementController.PlacedAttempt> other =
        dependencies
            .placement()
            .place(context, model, call, excluded, dependencies.clock().instant());
    if (other.isEmpty() || !dependencies.budget().tryTake()) {
      return Flux.never();
    }
    dependencies.metrics().countRetry("hedge");
    return callRunner(other.get(), "hedge")
        .switchOnFirst(
            (first, all) ->
                first.hasValue() && first.get().event() instanceof RunnerPort.Event.Failed
                    ? Flux.never()
                    : all);
  }

  private Flux<RunnerEvent> callRunner(PlacementController.PlacedAttempt attempt, String reason) {
    String runner = attempt.runner().name();
    return dependencies
        .runners()
        .complete(attempt.runner().address(), request(attempt))
        .doOnSubscribe(
            subscription -> {
              dependencies.endpoints().recordStart(runner);
              dependencies.journal().recordPlacement(context.requestId(), attempt.choice(), reason);
            })
        .doFinally(signal -> dependencies.endpoints().recordEnd(runner))
        .map(event -> new RunnerEvent(attempt, event));
  }

  private RunnerPort.CompletionRequest request(PlacementController.PlacedAttempt attempt) {
    return new RunnerPort.CompletionRequest(
        context.requestId(),
        context.requiredOrganisation().name(),
        call.model(),
        model.weightVersion(),
        call.prompt(),
        attempt.pieces().stream().map(PieceKeys.Piece::id).toList(),
        PieceKeys.DEFAULT_PIECE_TOKENS,
        call.maxTokens(),
        assembler.offset(),
        context.requiredClassification().urgency() == Urgency.URGENT,
        attempt.imports());
  }

  private void handleEvent(
      RunnerEvent received,
      PlacementController.PlacedAttempt primary,
      Instant startedAt,
      SynchronousSink<AnswerEvent> sink) {
    Instant now = dependencies.clock().instant();
    if (lastChunkAt.isEmpty() && attempts == 1) {
      dependencies
          .hedgeDelay()
          .recordFirstChunk(estimatedFirstToken(primary), Duration.between(startedAt, now), now);
      if (received.attempt() != primary) {
        dependencies.metrics().count("hedge.won");
      }
    }
    lastChunkAt = Optional.of(now);
    demand.decrementAndGet();
    switch (received.event()) {
      case RunnerPort.Event.Chunk chunk -> handleChunk(received.attempt(), chunk, sink);
      case RunnerPort.Event.End end -> handleEnd(received.attempt(), end, sink);
      case RunnerPort.Event.Failed failed ->
          sink.error(
              new AttemptException(
                  received.attempt(), new AttemptFailure.CallFailed(failed.error())));
    }
  }

  private void handleChunk(
      PlacementController.PlacedAttempt attempt,
      RunnerPort.Event.Chunk chunk,
      SynchronousSink<AnswerEvent> sink) {
    Verdict verdict =
        assembler.acceptChunk(
            chunk.requestId(), chunk.weightVersion(), chunk.offset(), chunk.tokens());
    if (verdict.isFault()) {
      sink.error(new AttemptException(attempt, new AttemptFailure.InvalidStream(verdict)));
    } else if (verdict == Verdict.TAKE) {
      sink.next(new AnswerEvent.Text(chunk.text()));
    } else {
      dependencies.metrics().count("stream.dropped_chunks");
    }
  }

  private void handleEnd(
      PlacementController.PlacedAttempt attempt,
      RunnerPort.Event.End end,
      SynchronousSink<AnswerEvent> sink) {
    Verdict verdict = assembler.acceptEnd(end.requestId(), end.totalTokens());
    if (verdict.isFault()) {
      sink.error(new AttemptException(attempt, new AttemptFailure.InvalidStream(verdict)));
      return;
    }
    dependencies.endpoints().recordSuccess(attempt.runner().name());
    dependencies
        .placement()
        .recordServed(attempt, end.importedTokens(), dependencies.clock().instant());
    isEnded = true;
    sink.next(new AnswerEvent.Complete(end));
  }

  private Mono<Long> stallSignal() {
    return Flux.interval(STALL_CHECK_INTERVAL).filter(tick -> isStalled()).next();
  }

  /**
   * Records that the caller requested more events. The time without demand does not count towards a
   * stall, because a caller that reads slowly does not mean that the runner is stuck.
   */
  private void recordDemand(long count) {
    boolean hadNoDemand = demand.getAndAccumulate(count, Operators::addCap) <= 0;
    if (hadNoDemand && lastChunkAt.isPresent()) {
      lastChunkAt = Optional.of(dependencies.clock().instant());
    }
  }

  private boolean isStalled() {
    if (demand.get() <= 0) {
      return false;
    }
    Instant oldest = dependencies.clock().instant().minus(STALL_TIMEOUT);
    return lastChunkAt.filter(last -> last.isBefore(oldest)).isPresent();
  }

  private Flux<AnswerEvent> stallFailure(PlacementController.PlacedAttempt attempt) {
    return Flux.error(new AttemptException(attempt, new AttemptFailure.Stalled()));
  }

  private Flux<AnswerEvent> afterFailure(AttemptException exception) {
    recordFailure(exception);
    AttemptFailure failure = exception.failure();
    boolean mayRepeat = context.requiredClassification().isRepeatable() || !mayHaveRun;
    if (!mayRepeat || attempts >= MAX_ATTEMPTS) {
      return failAfter(failure);
    }
    if (!dependencies.budget().tryTake()) {
      dependencies.metrics().count("retries.over_budget");
      return failAfter(failure);
    }
    Duration wait = RetryBudget.backoff(attempts, dependencies.random());
    return Mono.delay(wait).thenMany(Flux.defer(() -> retry(failure)));
  }

  private Flux<AnswerEvent> retry(AttemptFailure failure) {
    Optional<PlacementController.PlacedAttempt> nextAttempt = place(dependencies.clock().instant());
    if (nextAttempt.isEmpty()) {
      return failAfter(failure);
    }
    dependencies.metrics().countRetry(failure.code());
    return attempt(nextAttempt.get());
  }

  private void recordFailure(AttemptException exception) {
    AttemptFailure failure = exception.failure();
    String runner = exception.attempt().runner().name();
    mayHaveRun |= !failure.isWithoutEffect();
    failedRunners.add(runner);
    if (failure.isWrongWeightVersion()) {
      wrongVersionRunners.add(runner);
    }
    Instant now = dependencies.clock().instant();
    if (failure instanceof AttemptFailure.CallFailed c
        && dependencies.runners().isLeaving(c.error())) {
      dependencies.endpoints().recordLeavingReport(runner, now);
    } else {
      dependencies.endpoints().recordFailure(runner, now);
    }
  }

  /**
   * Places the next attempt on a runner that has not failed this request. If there is none, it may
   * go to a runner that failed before, unless that runner had the wrong weight version.
   */
  private Optional<PlacementController.PlacedAttempt> place(Instant now) {
    return dependencies
        .placement()
        .place(context, model, call, failedRunners, now)
        .or(() -> dependencies.placement().place(context, model, call, wrongVersionRunners, now));
  }

  private Flux<AnswerEvent> noEndpoint() {
    return failWith(
        Refusal.notRun(RefusalReason.NO_ENDPOINT, "no runner of this model takes requests")
            .withRetryAfter(RETRY_AFTER));
  }

  private Flux<AnswerEvent> deadlinePassed() {
    return failWith(
        Refusal.unknown(RefusalReason.DEADLINE_PASSED, "the deadline passed before the answer"));
  }

  private Flux<AnswerEvent> failAfter(AttemptFailure failure) {
    if (!mayHaveRun) {
      return failWith(
          Refusal.notRun(RefusalReason.ENDPOINT_FAILED, "no runner took the request")
              .withRetryAfter(RETRY_AFTER));
    }
    Refusal refusal = Refusal.unknown(refusalReason(failure), "the runner gave no whole answer");
    return failWith(
        context.requiredClassification().isRepeatable()
            ? refusal.withRetryAfter(RETRY_AFTER)
            : refusal);
  }

  private RefusalReason refusalReason(AttemptFailure failure) {
    if (failure.isWrongWeightVersion()) {
      return RefusalReason.WRONG_WEIGHT_VERSION;
    }
    return assembler.offset() > 0 ? RefusalReason.STREAM_CUT : RefusalReason.ENDPOINT_FAILED;
  }

  private static Flux<AnswerEvent> failWith(Refusal refusal) {
    return Flux.just(new AnswerEvent.Failed(refusal));
  }

  private static Duration estimatedFirstToken(PlacementController.PlacedAttempt attempt) {
    return Duration.ofNanos((long) (attempt.choice().firstTokenSeconds() * 1e9));
  }

  /**
   * An event from a runner.
   *
   * @param attempt the attempt or hedge request that the event belongs to
   * @param event the event
   */
  private record RunnerEvent(PlacementController.PlacedAttempt attempt, RunnerPort.Event event) {}

  /** Signals a failed attempt to {@link #afterFailure}; it is never thrown to callers. */
  private static final class AttemptException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient PlacementController.PlacedAttempt attempt;
    private final transient AttemptFailure failure;

    AttemptException(PlacementController.PlacedAttempt attempt, AttemptFailure failure) {
      super(failure.code(), null, false, false);
      this.attempt = attempt;
      this.failure = failure;
    }

    PlacementController.PlacedAttempt attempt() {
      return attempt;
    }

    AttemptFailure failure() {
      return failure;
    }
  }
}
