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
 * One completion over as many attempts as it needs and may have.
 *
 * <p>Not thread-safe: one for each request, whose attempts follow each other. Nothing is null.
 */
final class CompletionRun {

  /** Most attempts of one completion. */
  static final int MAX_ATTEMPTS = 5;

  /** Time without a chunk, after the first one, from which a stream counts as broken. */
  static final Duration STALL_TIME = Duration.ofSeconds(5);

  private static final Duration STALL_CHECK_INTERVAL = Duration.ofSeconds(1);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final CompletionServices services;
  private final RequestContext context;
  private final Call.Completion call;
  private final Model model;
  private final StreamAssembler assembler;
  private final Set<String> failedRunners = new HashSet<>();
  private final Set<String> barredRunners = new HashSet<>();
  private int attempts;
  private boolean mayHaveRun;
  private final AtomicLong demand = new AtomicLong();
  private volatile boolean isEnded;
  private volatile Optional<Instant> lastChunkAt = Optional.empty();

  /** Creates a run that keeps the model's weight version over all attempts. */
  CompletionRun(
      CompletionServices services, RequestContext context, Call.Completion call, Model model) {
    this.services = services;
    this.context = context;
    this.call = call;
    this.model = model;
    this.assembler = new StreamAssembler(context.requestId(), model.weightVersion());
  }

  /** Returns the answer; cancelling it cancels the runner's work. */
  Flux<AnswerEvent> events() {
    return Flux.defer(this::start);
  }

  private Flux<AnswerEvent> start() {
    services.budget().recordRequest();
    Instant now = services.clock().instant();
    Duration left = Duration.between(now, context.requiredTreatment().deadline());
    return place(now)
        .map(this::attempt)
        .orElseGet(this::noEndpoint)
        .doOnNext(event -> isEnded = !(event instanceof AnswerEvent.Text))
        .takeUntilOther(Mono.delay(left.isNegative() ? Duration.ZERO : left))
        .concatWith(Flux.defer(() -> isEnded ? Flux.empty() : deadlinePassed()));
  }

  private Flux<AnswerEvent> attempt(PlacementController.Placed placed) {
    attempts++;
    lastChunkAt = Optional.empty();
    demand.set(0);
    Instant startedAt = services.clock().instant();
    return sources(placed)
        .doOnRequest(this::requested)
        .takeUntilOther(stalled())
        .<AnswerEvent>handle((sourced, sink) -> judge(sourced, placed, startedAt, sink))
        .concatWith(Flux.defer(() -> isEnded ? Flux.empty() : stall(placed)))
        .onErrorResume(AttemptException.class, this::afterFailure);
  }

  private Flux<Sourced> sources(PlacementController.Placed placed) {
    Flux<Sourced> primary = stream(placed, attempts == 1 ? "first" : "retry");
    if (attempts > 1 || !isHedgeable()) {
      return primary;
    }
    Flux<Sourced> hedge =
        Flux.defer(() -> hedge(placed))
            .delaySubscription(services.hedgeDelay().delay(estimate(placed)));
    return Flux.firstWithValue(primary, hedge);
  }

  private boolean isHedgeable() {
    RequestContext.Treatment treatment = context.requiredTreatment();
    return treatment.urgency() == Urgency.URGENT && treatment.isRepeatable();
  }

  /**
   * Sends a second copy elsewhere; a failed one never decides, since the first may still answer.
   */
  private Flux<Sourced> hedge(PlacementController.Placed primary) {
    Set<String> excluded = Set.of(primary.runner().name());
    Optional<PlacementController.Placed> other =
        services.placement().place(context, model, call, excluded, services.clock().instant());
    if (other.isEmpty() || !services.budget().tryTake()) {
      return Flux.never();
    }
    services.metrics().retried("hedge");
    return stream(other.get(), "hedge")
        .switchOnFirst(
            (first, all) ->
                first.hasValue() && first.get().event() instanceof RunnerPort.Event.Failed
                    ? Flux.never()
                    : all);
  }

  private Flux<Sourced> stream(PlacementController.Placed placed, String reason) {
    String runner = placed.runner().name();
    return services
        .runners()
        .complete(placed.runner().address(), request(placed))
        .doOnSubscribe(
            subscription -> {
              services.endpoints().began(runner);
              services.journal().placed(context.requestId(), placed.choice(), reason);
            })
        .doFinally(signal -> services.endpoints().ended(runner))
        .map(event -> new Sourced(placed, event));
  }

  private RunnerPort.CompletionRequest request(PlacementController.Placed placed) {
    return new RunnerPort.CompletionRequest(
        context.requestId(),
        context.requiredOrganisation().name(),
        call.model(),
        model.weightVersion(),
        call.prompt(),
        placed.pieces().stream().map(PieceKeys.Piece::id).toList(),
        PieceKeys.DEFAULT_PIECE_TOKENS,
        call.maxTokens(),
        assembler.offset(),
        context.requiredTreatment().urgency() == Urgency.URGENT,
        placed.imports());
  }

  private void judge(
      Sourced sourced,
      PlacementController.Placed primary,
      Instant startedAt,
      SynchronousSink<AnswerEvent> sink) {
    Instant now = services.clock().instant();
    if (lastChunkAt.isEmpty() && attempts == 1) {
      services.hedgeDelay().recordFirstChunk(estimate(primary), Duration.between(startedAt, now));
      if (sourced.placed() != primary) {
        services.metrics().count("hedge.won");
      }
    }
    lastChunkAt = Optional.of(now);
    demand.decrementAndGet();
    switch (sourced.event()) {
      case RunnerPort.Event.Chunk chunk -> judgeChunk(sourced.placed(), chunk, sink);
      case RunnerPort.Event.End end -> judgeEnd(sourced.placed(), end, sink);
      case RunnerPort.Event.Failed failed ->
          sink.error(
              new AttemptException(sourced.placed(), new AttemptFailure.Call(failed.error())));
    }
  }

  private void judgeChunk(
      PlacementController.Placed placed,
      RunnerPort.Event.Chunk chunk,
      SynchronousSink<AnswerEvent> sink) {
    Verdict verdict =
        assembler.acceptChunk(
            chunk.requestId(), chunk.weightVersion(), chunk.offset(), chunk.tokens());
    if (verdict.isFault()) {
      sink.error(new AttemptException(placed, new AttemptFailure.Chunk(verdict)));
    } else if (verdict == Verdict.TAKE) {
      sink.next(new AnswerEvent.Text(chunk.text()));
    } else {
      services.metrics().count("stream.dropped_chunks");
    }
  }

  private void judgeEnd(
      PlacementController.Placed placed,
      RunnerPort.Event.End end,
      SynchronousSink<AnswerEvent> sink) {
    Verdict verdict = assembler.acceptEnd(end.requestId(), end.totalTokens());
    if (verdict.isFault()) {
      sink.error(new AttemptException(placed, new AttemptFailure.Chunk(verdict)));
      return;
    }
    services.endpoints().succeeded(placed.runner().name());
    services.placement().served(placed, end.importedTokens(), services.clock().instant());
    isEnded = true;
    sink.next(new AnswerEvent.Whole(end));
  }

  private Mono<Long> stalled() {
    return Flux.interval(STALL_CHECK_INTERVAL).filter(tick -> isStalled()).next();
  }

  /** Notes that the caller's side waits for more; a caller that reads slowly is no stall. */
  private void requested(long count) {
    boolean wasSatisfied = demand.getAndAccumulate(count, Operators::addCap) <= 0;
    if (wasSatisfied && lastChunkAt.isPresent()) {
      lastChunkAt = Optional.of(services.clock().instant());
    }
  }

  private boolean isStalled() {
    if (demand.get() <= 0) {
      return false;
    }
    Instant oldest = services.clock().instant().minus(STALL_TIME);
    return lastChunkAt.filter(last -> last.isBefore(oldest)).isPresent();
  }

  private Flux<AnswerEvent> stall(PlacementController.Placed placed) {
    return Flux.error(new AttemptException(placed, new AttemptFailure.Stalled()));
  }

  private Flux<AnswerEvent> afterFailure(AttemptException exception) {
    note(exception);
    AttemptFailure failure = exception.failure();
    boolean mayRepeat = context.requiredTreatment().isRepeatable() || !mayHaveRun;
    if (!mayRepeat || attempts >= MAX_ATTEMPTS) {
      return broken(failure);
    }
    if (!services.budget().tryTake()) {
      services.metrics().count("retries.over_budget");
      return broken(failure);
    }
    Duration wait = RetryBudget.backoff(attempts, services.random());
    return Mono.delay(wait).thenMany(Flux.defer(() -> again(failure)));
  }

  private Flux<AnswerEvent> again(AttemptFailure failure) {
    Optional<PlacementController.Placed> placed = place(services.clock().instant());
    if (placed.isEmpty()) {
      return broken(failure);
    }
    services.metrics().retried(failure.code());
    return attempt(placed.get());
  }

  private void note(AttemptException exception) {
    AttemptFailure failure = exception.failure();
    String runner = exception.placed().runner().name();
    mayHaveRun |= !failure.isWithoutEffect();
    failedRunners.add(runner);
    if (failure.isWrongWeightVersion()) {
      barredRunners.add(runner);
    }
    Instant now = services.clock().instant();
    if (failure instanceof AttemptFailure.Call c && services.runners().isLeaving(c.error())) {
      services.endpoints().saidLeaving(runner, now);
    } else {
      services.endpoints().failed(runner, now);
    }
  }

  /** Places the next attempt away from where it failed if that is possible. */
  private Optional<PlacementController.Placed> place(Instant now) {
    return services
        .placement()
        .place(context, model, call, failedRunners, now)
        .or(() -> services.placement().place(context, model, call, barredRunners, now));
  }

  private Flux<AnswerEvent> noEndpoint() {
    return end(
        Refusal.notRun(RefusalReason.NO_ENDPOINT, "no runner of this model takes requests")
            .withRetryAfter(RETRY_AFTER));
  }

  private Flux<AnswerEvent> deadlinePassed() {
    return end(
        Refusal.unknown(RefusalReason.DEADLINE_PASSED, "the deadline passed before the answer"));
  }

  private Flux<AnswerEvent> broken(AttemptFailure failure) {
    if (!mayHaveRun) {
      return end(
          Refusal.notRun(RefusalReason.ENDPOINT_FAILED, "no runner took the request")
              .withRetryAfter(RETRY_AFTER));
    }
    Refusal refusal = Refusal.unknown(reason(failure), "the runner gave no whole answer");
    return end(
        context.requiredTreatment().isRepeatable() ? refusal.withRetryAfter(RETRY_AFTER) : refusal);
  }

  private RefusalReason reason(AttemptFailure failure) {
    if (failure.isWrongWeightVersion()) {
      return RefusalReason.WRONG_WEIGHT_VERSION;
    }
    return assembler.offset() > 0 ? RefusalReason.STREAM_CUT : RefusalReason.ENDPOINT_FAILED;
  }

  private static Flux<AnswerEvent> end(Refusal refusal) {
    return Flux.just(new AnswerEvent.Broken(refusal));
  }

  private static Duration estimate(PlacementController.Placed placed) {
    return Duration.ofNanos((long) (placed.choice().firstTokenSeconds() * 1e9));
  }

  /**
   * An event and where it came from.
   *
   * @param placed place of the attempt
   * @param event the event
   */
  private record Sourced(PlacementController.Placed placed, RunnerPort.Event event) {}

  /** Ends an attempt; it never leaves this class. */
  private static final class AttemptException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient PlacementController.Placed placed;
    private final transient AttemptFailure failure;

    AttemptException(PlacementController.Placed placed, AttemptFailure failure) {
      super(failure.code(), null, false, false);
      this.placed = placed;
      this.failure = failure;
    }

    PlacementController.Placed placed() {
      return placed;
    }

    AttemptFailure failure() {
      return failure;
    }
  }
}
