package org.dragonflyhill.daemon;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.ConfigurationObject.Model;
import org.dragonflyhill.core.ConfigurationObject.Runner;
import org.dragonflyhill.core.ObjectKind;
import org.dragonflyhill.core.PieceKeys;
import org.dragonflyhill.core.Placement;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.platform.RunnerPort;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Places completions on runners and relays the answers. Thread-safe; nothing is null. */
public final class CompletionHandler {

  private static final Duration LATENCY = Duration.ofMillis(1);

  private final ConfigurationController configuration;
  private final EndpointController endpoints;
  private final CacheController cache;
  private final RunnerPort runners;
  private final PieceKeys pieceKeys;
  private final CompletionRelay relay;
  private final InstantSource clock;

  /** Creates a handler. */
  public CompletionHandler(
      ConfigurationController configuration,
      EndpointController endpoints,
      CacheController cache,
      RunnerPort runners,
      PieceKeys pieceKeys,
      CompletionRelay relay,
      InstantSource clock) {
    this.configuration = configuration;
    this.endpoints = endpoints;
    this.cache = cache;
    this.runners = runners;
    this.pieceKeys = pieceKeys;
    this.relay = relay;
    this.clock = clock;
  }

  /** Serves a completion. */
  public Mono<Reply> handle(RequestContext context, Call.Completion call) {
    Optional<Model> model = configuration.find(ObjectKind.MODEL, call.model(), Model.class);
    if (model.isEmpty()) {
      return problem(Refusal.notRun(RefusalReason.NOT_FOUND, "no such model"));
    }
    List<PieceKeys.Piece> pieces = pieces(context, model.get(), call);
    Optional<Placement.Choice> choice = place(context, model.get(), call, pieces, clock.instant());
    if (choice.isEmpty()) {
      return problem(
          Refusal.notRun(RefusalReason.NO_ENDPOINT, "no runner of this model takes requests"));
    }
    Runner runner =
        configuration.find(ObjectKind.RUNNER, choice.get().runner(), Runner.class).orElseThrow();
    return relay.reply(context, call, run(context, call, model.get(), runner, pieces));
  }

  private Flux<RunnerPort.Event> run(
      RequestContext context,
      Call.Completion call,
      Model model,
      Runner runner,
      List<PieceKeys.Piece> pieces) {
    var request =
        new RunnerPort.CompletionRequest(
            context.requestId(),
            context.requiredOrganisation().name(),
            call.model(),
            model.weightVersion(),
            call.prompt(),
            pieces.stream().map(PieceKeys.Piece::id).toList(),
            PieceKeys.DEFAULT_PIECE_TOKENS,
            call.maxTokens(),
            0,
            context.requiredTreatment().urgency()
                == org.dragonflyhill.core.ConfigurationObject.Urgency.URGENT,
            List.of());
    return runners
        .complete(runner.address(), request)
        .doOnSubscribe(subscription -> endpoints.began(runner.name()))
        .doFinally(signal -> endpoints.ended(runner.name()))
        .doOnNext(event -> observe(runner, pieces, event));
  }

  private void observe(Runner runner, List<PieceKeys.Piece> pieces, RunnerPort.Event event) {
    switch (event) {
      case RunnerPort.Event.Chunk chunk -> {}
      case RunnerPort.Event.End end -> {
        endpoints.succeeded(runner.name());
        cache.computed(runner.name(), pieces);
      }
      case RunnerPort.Event.Failed failed -> endpoints.failed(runner.name(), clock.instant());
    }
  }

  private List<PieceKeys.Piece> pieces(RequestContext context, Model model, Call.Completion call) {
    var scope =
        new PieceKeys.Scope(
            context.requiredOrganisation().name(), model.name(), "", model.weightVersion());
    return pieceKeys.pieces(scope, call.prompt());
  }

  private Optional<Placement.Choice> place(
      RequestContext context,
      Model model,
      Call.Completion call,
      List<PieceKeys.Piece> pieces,
      Instant now) {
    List<Placement.Candidate> candidates = new ArrayList<>();
    for (Runner runner : configuration.state().all(Runner.class)) {
      if (runner.model().equals(model.name())
          && endpoints.isUsable(runner.name(), runner.administrativeState(), now)) {
        candidates.add(candidate(model, runner, pieces));
      }
    }
    RequestContext.Treatment treatment = context.requiredTreatment();
    var weights = new Placement.Weights(treatment.firstTokenWeight(), treatment.recomputeWeight());
    var request =
        new Placement.Request(
            PieceKeys.tokens(call.prompt()),
            model.prefillTokensPerSecond(),
            model.cacheBytesPerToken());
    return new Placement(weights).choose(request, candidates);
  }

  private Placement.Candidate candidate(Model model, Runner runner, List<PieceKeys.Piece> pieces) {
    long cached = (long) cache.prefixPieces(runner.name(), pieces) * PieceKeys.DEFAULT_PIECE_TOKENS;
    return new Placement.Candidate(
        runner.name(), queueWait(model, runner), LATENCY, cached, 0, runner.linkBytesPerSecond());
  }

  private Duration queueWait(Model model, Runner runner) {
    long queuedTokens = endpoints.load(runner.name()).map(RunnerPort.Load::queuedTokens).orElse(0L);
    int waiting = Math.max(0, endpoints.inFlight(runner.name()) + 1 - runner.slots());
    long tokens = queuedTokens + (long) waiting * PieceKeys.DEFAULT_PIECE_TOKENS;
    return Duration.ofMillis(tokens * 1_000 / model.prefillTokensPerSecond());
  }

  private static Mono<Reply> problem(Refusal refusal) {
    return Mono.just(new Reply.Problem(refusal));
  }
}
