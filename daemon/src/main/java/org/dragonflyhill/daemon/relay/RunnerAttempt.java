package org.dragonflyhill.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.dragonflyhill.core.relay.Endpoint;
import org.dragonflyhill.core.relay.Prompt;
import org.dragonflyhill.core.relay.Runner;
import org.dragonflyhill.core.relay.RunnerSelector;

/**
 * An attempt to run a request on one runner: the load that it puts on the runner, its times, and
 * what they say about the runner. Subclasses handle the response.
 */
abstract class RunnerAttempt implements RunnerConnection.ResponseListener {

  /** Pause within a resumable stream after which another runner is asked to resume it. */
  private static final Duration STREAM_IDLE_TIMEOUT = Duration.ofMillis(1_200);

  /**
   * Time after which a silent attempt is cancelled if the runner that was asked instead has not
   * answered. Both must not run for longer than the 400 ms of the platform specification.
   */
  private static final Duration HANDOVER_TIMEOUT = Duration.ofMillis(300);

  /** Time after sending within which fetches must end, since the parts may be freed afterwards. */
  private static final Duration MAX_FETCH_TIME = Duration.ofMillis(2_000);

  final Runner runner;
  final RunnerSelector.Selection selection;
  Optional<RunnerConnection> connection = Optional.empty();
  Instant lastActivityAt = Instant.MAX;
  Instant sentAt = Instant.MAX;
  Instant answeredAt = Instant.MAX;
  boolean hasResponse;

  /** Whether a part of the response body has come, and so the request has begun. */
  boolean hasContent;

  boolean isSilenceReported;
  boolean isEnded;
  private final RelayState state;
  private final Optional<Prompt> prompt;
  private final int rank;

  /**
   * Creates an attempt that has not been sent.
   *
   * @param state state of the node
   * @param runner the runner
   * @param selection how the runner was selected; null for requests without a prompt and for
   *     services that are not model runners
   * @param prompt prompt of the request, if it has one
   * @param rank scheduling rank of the request
   */
  RunnerAttempt(
      RelayState state,
      Runner runner,
      RunnerSelector.Selection selection,
      Optional<Prompt> prompt,
      int rank) {
    this.state = state;
    this.runner = runner;
    this.selection = selection;
    this.prompt = prompt;
    this.rank = rank;
  }

  Optional<HeaderCodec.CacheInstructions> cacheInstructions() {
    if (selection == null || prompt.isEmpty()) {
      return Optional.empty();
    }
    // The salt was derived from this version; the runner may have reported a newer one since.
    final long version = selection.weightVersion();
    List<Optional<Endpoint>> fetchSources = new ArrayList<>(selection.fetchSources());
    while (fetchSources.size() < prompt.get().parts().size()) {
      fetchSources.add(Optional.empty());
    }
    List<Optional<Endpoint>> saveTargets = new ArrayList<>();
    // A store drops nothing for new weights, so what it keeps has to name the weights it is for.
    if (version != Runner.UNKNOWN_WEIGHTS) {
      saveTargets.addAll(state.saveTargets(selection.salt(), prompt.get().sharedParts()));
    }
    while (!saveTargets.isEmpty() && saveTargets.size() < prompt.get().parts().size()) {
      saveTargets.add(Optional.empty());
    }
    OptionalLong runnerClock = state.runnerClockMillis();
    if (runnerClock.isEmpty()) {
      // Without a deadline, a fetch could read parts while they are being freed.
      fetchSources.replaceAll(any -> Optional.empty());
    }
    return Optional.of(
        new HeaderCodec.CacheInstructions(
            selection.salt(),
            version == Runner.UNKNOWN_WEIGHTS ? OptionalLong.empty() : OptionalLong.of(version),
            fetchSources,
            runnerClock.isPresent()
                ? OptionalLong.of(runnerClock.getAsLong() + MAX_FETCH_TIME.toMillis())
                : OptionalLong.empty(),
            saveTargets));
  }

  /** Returns the expected time to the first response, zero if there is no estimate. */
  Duration expectedTime() {
    return selection == null
        ? Duration.ZERO
        : Duration.ofNanos((long) (selection.firstTokenSeconds() * 1e9));
  }

  /** Returns the model of the request, empty if its prompt cannot be read. */
  Optional<String> model() {
    return prompt.map(Prompt::model);
  }

  /** Returns the weight version that the request names, {@link Runner#UNKNOWN_WEIGHTS} for none. */
  long expectedWeights() {
    return selection == null ? Runner.UNKNOWN_WEIGHTS : selection.weightVersion();
  }

  long prefillTokens() {
    return selection == null ? 0 : selection.prefillTokens();
  }

  private long memoryTokens() {
    return selection == null ? 0 : prompt.map(Prompt::memoryTokens).orElse(0);
  }

  void onSent(RunnerConnection used, Instant now) {
    connection = Optional.of(used);
    lastActivityAt = now;
    sentAt = now;
    runner.requestSent(rank, prefillTokens(), memoryTokens(), now);
    if (selection != null) {
      state.expectParts(runner.info().endpoint(), selection.salt(), prompt.get().sharedParts());
    }
  }

  /** Pauses reading the response or continues; the runner's silence is measured anew then. */
  void pauseReading(boolean isPaused) {
    if (connection.isPresent()) {
      connection.get().pauseReading(isPaused);
      lastActivityAt = state.now();
    }
  }

  /** Returns whether the runner sends nothing, as far as this node reads what it sends. */
  boolean isSilent(Instant now) {
    if (connection.isEmpty() || connection.get().isReadingPaused()) {
      return false;
    }
    return hasResponse
        ? Duration.between(lastActivityAt, now).compareTo(STREAM_IDLE_TIMEOUT) > 0
        : state.isSilent(runner, selection != null)
            && Duration.between(lastActivityAt, now).compareTo(Runner.SILENCE_TIMEOUT) > 0;
  }

  /** Returns the number of bytes of the request that the socket has not taken yet. */
  long unwrittenBytes() {
    return connection.map(RunnerConnection::unwrittenBytes).orElse(0L);
  }

  Duration answerAge() {
    return Duration.between(answeredAt, state.now());
  }

  /** Returns whether the runner had time to answer before a silent attempt is cancelled. */
  boolean isHandoverOver(Instant now) {
    return connection.isPresent() && Duration.between(sentAt, now).compareTo(HANDOVER_TIMEOUT) > 0;
  }

  /**
   * Returns whether the request was sent but has not begun, and its runner's weights were replaced
   * so long ago that it must not begin on them any more. The head of a response may come before the
   * first token, with which a request begins.
   */
  boolean hasOutlivedWeights(Instant now) {
    return connection.isPresent()
        && !hasContent
        && state.weights().deadline().mustCancel(weightsReplacedAt(), now);
  }

  /** Returns whether the request may be sent now; its runner was selected some time ago. */
  boolean mayBeginOnWeights(Instant now) {
    return state.weights().deadline().maySend(weightsReplacedAt(), 0, now);
  }

  private Optional<Instant> weightsReplacedAt() {
    return selection == null
        ? state.weights().announced().replacedAt(runner)
        : state.weights().announced().replacedAt(prompt.get().model(), selection.weightVersion());
  }

  void cancel() {
    if (!isEnded && connection.isPresent()) {
      RunnerConnection used = connection.get();
      releaseLoad();
      used.cancel();
    }
    isEnded = true;
  }

  /** Ends the attempt and removes its load from the runner, once. */
  void releaseLoad() {
    if (!isEnded) {
      isEnded = true;
      runner.requestEnded(hasResponse, rank, prefillTokens(), memoryTokens());
    }
  }
}
