package org.dragonflyhill.ports;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.ChangeRecord;
import org.dragonflyhill.core.ConfigurationState;
import reactor.core.publisher.Mono;

/**
 * Reads the configuration from the log and submits changes to it.
 *
 * <pre>{@code
 * ConfigurationLog configuration = new ConfigurationLog(log);
 * Mono<Either<PlatformError, ConfigurationState>> state = configuration.read();
 * Mono<ChangeOutcome> outcome = configuration.submit(state, change);
 * }</pre>
 *
 * <p>Immutable and thread-safe; no argument may be null.
 */
public final class ConfigurationLog {

  private static final int PAGE_RECORDS = 1_000;
  private static final int READ_ATTEMPTS = 5;
  private static final Duration READ_RETRY_DELAY = Duration.ofMillis(200);

  private final LogPort log;

  /** Creates an instance that reads and writes the configuration stream of a log. */
  public ConfigurationLog(LogPort log) {
    this.log = log;
  }

  /** Returns the configuration after all records that are currently in the log. */
  public Mono<Either<PlatformError, ConfigurationState>> read() {
    return readFrom(ConfigurationState.empty());
  }

  /** Returns the configuration after applying all later records to a state. */
  public Mono<Either<PlatformError, ConfigurationState>> readFrom(ConfigurationState state) {
    var replay = new ConfigurationReplay(state, ConfigurationReplay.Observer.NONE);
    return readPage(replay, state.throughOffset() + 1);
  }

  /**
   * Appends a change once and returns the configuration after it, accepted or rejected.
   *
   * @param state configuration on which the change is based
   * @param change the change
   */
  public Mono<Either<PlatformError, ConfigurationState>> append(
      ConfigurationState state, ChangeRecord change) {
    return submit(state, change)
        .flatMap(
            outcome ->
                switch (outcome) {
                  case ChangeOutcome.Accepted accepted -> readFrom(state);
                  case ChangeOutcome.Rejected rejected -> readFrom(state);
                  case ChangeOutcome.NotAppended notAppended ->
                      failed(new PlatformError.NotSent(notAppended.detail()));
                  case ChangeOutcome.Unknown unknown ->
                      failed(
                          new PlatformError.Lost(
                              "change " + unknown.changeId() + ": " + unknown.detail()));
                });
  }

  /**
   * Appends a change once and returns its outcome.
   *
   * <p>If the response to the append is lost, this method reads the log to look for the change. If
   * the change is not there, its append may still arrive later, so a withdrawal record is appended:
   * of the change and its withdrawal, the record that is first in the log takes effect.
   *
   * @param state configuration on which the change is based
   * @param change the change
   */
  public Mono<ChangeOutcome> submit(ConfigurationState state, ChangeRecord change) {
    return appendRecord(new ConfigurationRecord.Change(ConfigurationRecord.SCHEMA, change))
        .flatMap(
            answer ->
                answer.isRight()
                    ? outcomeAfterAppend(state, change.changeId())
                    : outcomeAfterFailure(state, change, answer.getLeft()));
  }

  /**
   * Looks up the outcome of a change whose outcome was unknown.
   *
   * @param state a configuration from before the change, for example the empty one
   * @param changeId id of the change
   */
  public Mono<Either<PlatformError, Optional<ChangeOutcome>>> lookUp(
      ConfigurationState state, String changeId) {
    return readFrom(state).map(read -> read.map(after -> outcome(after, changeId)));
  }

  private Mono<ChangeOutcome> outcomeAfterAppend(ConfigurationState state, String changeId) {
    return lookUpWithRetry(state, changeId)
        .map(
            found ->
                found.fold(
                    error -> new ChangeOutcome.Unknown(changeId, error.detail()),
                    outcome ->
                        outcome.orElseGet(
                            () ->
                                new ChangeOutcome.Unknown(
                                    changeId, "appended, but not found when reading the log"))));
  }

  private Mono<ChangeOutcome> outcomeAfterFailure(
      ConfigurationState state, ChangeRecord change, PlatformError error) {
    if (error.isWithoutEffect()) {
      return Mono.just(new ChangeOutcome.NotAppended(change.changeId(), error.detail()));
    }
    return lookUpWithRetry(state, change.changeId())
        .flatMap(
            found ->
                found.fold(
                    readError -> Mono.just(unknown(change, error)),
                    outcome ->
                        outcome.map(Mono::just).orElseGet(() -> withdraw(state, change, error))));
  }

  private Mono<ChangeOutcome> withdraw(
      ConfigurationState state, ChangeRecord change, PlatformError cause) {
    var withdrawal =
        new ConfigurationRecord.Withdrawal(
            ConfigurationRecord.SCHEMA, change.changeId(), change.author());
    // The response to this append may be lost too, so the outcome is taken from the log only.
    return appendRecord(withdrawal)
        .then(lookUpWithRetry(state, change.changeId()))
        .map(
            found ->
                found.fold(
                    readError -> unknown(change, cause),
                    outcome -> outcome.orElseGet(() -> unknown(change, cause))));
  }

  private Mono<Either<PlatformError, Optional<ChangeOutcome>>> lookUpWithRetry(
      ConfigurationState state, String changeId) {
    return Mono.defer(() -> lookUp(state, changeId))
        .expand(
            found ->
                found.isLeft()
                    ? Mono.delay(READ_RETRY_DELAY).then(lookUp(state, changeId))
                    : Mono.empty())
        .take(READ_ATTEMPTS)
        .last();
  }

  private static Optional<ChangeOutcome> outcome(ConfigurationState state, String changeId) {
    return state.decision(changeId).map(ConfigurationLog::outcome);
  }

  private static ChangeOutcome outcome(ConfigurationState.ChangeDecision decision) {
    if (decision.isAccepted()) {
      return new ChangeOutcome.Accepted(decision.changeId(), decision.offset());
    }
    return decision.isWithdrawn()
        ? new ChangeOutcome.NotAppended(decision.changeId(), ConfigurationState.WITHDRAWN)
        : new ChangeOutcome.Rejected(decision.changeId(), decision.offset(), decision.rejections());
  }

  private static ChangeOutcome unknown(ChangeRecord change, PlatformError error) {
    return new ChangeOutcome.Unknown(change.changeId(), error.detail());
  }

  private Mono<Either<PlatformError, Long>> appendRecord(ConfigurationRecord record) {
    return log.append(LogPort.CONFIGURATION_STREAM, List.of(Json.write(record)));
  }

  private Mono<Either<PlatformError, ConfigurationState>> readPage(
      ConfigurationReplay replay, long from) {
    return log.read(LogPort.CONFIGURATION_STREAM, from, PAGE_RECORDS, Duration.ZERO)
        .flatMap(
            answer -> answer.isLeft() ? failed(answer.getLeft()) : applyPage(replay, answer.get()));
  }

  private Mono<Either<PlatformError, ConfigurationState>> applyPage(
      ConfigurationReplay replay, LogPort.Page page) {
    replay.apply(page);
    long next = page.records().isEmpty() ? page.next() : page.records().getLast().offset() + 1;
    if (next < page.next()) {
      return readPage(replay, next);
    }
    return replay
        .problem()
        .map(problem -> failed(new PlatformError.Malformed(problem.detail())))
        .orElseGet(() -> Mono.just(Either.right(replay.state())));
  }

  private static Mono<Either<PlatformError, ConfigurationState>> failed(PlatformError error) {
    return Mono.just(Either.left(error));
  }
}
