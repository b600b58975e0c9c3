package org.dragonflyhill.daemon;

import java.time.InstantSource;
import java.util.Optional;
import java.util.Set;
import org.dragonflyhill.core.ConfigurationObject.Model;
import org.dragonflyhill.core.ConfigurationObject.Runner;
import org.dragonflyhill.core.ObjectKind;
import org.dragonflyhill.core.PieceKeys;
import org.dragonflyhill.core.Refusal;
import org.dragonflyhill.core.RefusalReason;
import org.dragonflyhill.platform.RunnerPort;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Sends completions to the runners chosen for them and relays the answers.
 *
 * <p>Thread-safe; nothing is null.
 */
public final class CompletionHandler {

  private final ConfigurationController configuration;
  private final EndpointController endpoints;
  private final PlacementController placement;
  private final RunnerPort runners;
  private final CompletionRelay relay;
  private final InstantSource clock;

  /** Creates a handler. */
  public CompletionHandler(
      ConfigurationController configuration,
      EndpointController endpoints,
      PlacementController placement,
      RunnerPort runners,
      CompletionRelay relay,
      InstantSource clock) {
    this.configuration = configuration;
    this.endpoints = endpoints;
    this.placement = placement;
    this.runners = runners;
    this.relay = relay;
    this.clock = clock;
  }

  /** Serves a completion. */
  public Mono<Reply> handle(RequestContext context, Call.Completion call) {
    Optional<Model> model = configuration.find(ObjectKind.MODEL, call.model(), Model.class);
    if (model.isEmpty()) {
      return problem(Refusal.notRun(RefusalReason.NOT_FOUND, "no such model"));
    }
    Optional<PlacementController.Placed> placed =
        placement.place(context, model.get(), call, Set.of(), clock.instant());
    if (placed.isEmpty()) {
      return problem(
          Refusal.notRun(RefusalReason.NO_ENDPOINT, "no runner of this model takes requests"));
    }
    return relay.reply(context, call, run(context, call, model.get(), placed.get()));
  }

  private Flux<RunnerPort.Event> run(
      RequestContext context,
      Call.Completion call,
      Model model,
      PlacementController.Placed placed) {
    Runner runner = placed.runner();
    var request =
        new RunnerPort.CompletionRequest(
            context.requestId(),
            context.requiredOrganisation().name(),
            call.model(),
            model.weightVersion(),
            call.prompt(),
            placed.pieces().stream().map(PieceKeys.Piece::id).toList(),
            PieceKeys.DEFAULT_PIECE_TOKENS,
            call.maxTokens(),
            0,
            context.requiredTreatment().urgency()
                == org.dragonflyhill.core.ConfigurationObject.Urgency.URGENT,
            placed.imports());
    return runners
        .complete(runner.address(), request)
        .doOnSubscribe(subscription -> endpoints.began(runner.name()))
        .doFinally(signal -> endpoints.ended(runner.name()))
        .doOnNext(event -> observe(placed, event));
  }

  private void observe(PlacementController.Placed placed, RunnerPort.Event event) {
    Runner runner = placed.runner();
    switch (event) {
      case RunnerPort.Event.Chunk chunk -> {}
      case RunnerPort.Event.End end -> {
        endpoints.succeeded(runner.name());
        placement.served(placed);
      }
      case RunnerPort.Event.Failed failed -> endpoints.failed(runner.name(), clock.instant());
    }
  }

  private static Mono<Reply> problem(Refusal refusal) {
    return Mono.just(new Reply.Problem(refusal));
  }
}
