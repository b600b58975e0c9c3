package org.dragonflyhill.daemon;

import java.util.List;
import org.dragonflyhill.core.StreamAssembler;
import org.dragonflyhill.ports.PlatformError;

/**
 * Why one attempt of a completion ended without its answer.
 *
 * <p>All variants are immutable and thread-safe; no component is null.
 */
sealed interface AttemptFailure {

  /** All names under which retries are counted, so that each counter exists from the start. */
  List<String> CODES =
      List.of(
          "not_sent",
          "lost",
          "refused",
          "malformed",
          "crossed",
          "gap",
          "wrong_weight_version",
          "stalled");

  /** Returns the name under which retries for this reason are counted. */
  default String code() {
    return switch (this) {
      case CallFailed call ->
          switch (call.error()) {
            case PlatformError.NotSent notSent -> "not_sent";
            case PlatformError.Lost lost -> "lost";
            case PlatformError.Refused refused -> "refused";
            case PlatformError.Malformed malformed -> "malformed";
          };
      case InvalidStream chunk -> chunk.verdict().code();
      case Stalled stalled -> "stalled";
    };
  }

  /** Returns whether it is certain that the runner did nothing. */
  default boolean isWithoutEffect() {
    return this instanceof CallFailed call && call.error().isWithoutEffect();
  }

  /** Returns whether the runner answered under another weight version. */
  default boolean isWrongWeightVersion() {
    return this instanceof InvalidStream chunk
        && chunk.verdict() == StreamAssembler.Verdict.WRONG_WEIGHT_VERSION;
  }

  /**
   * The call failed.
   *
   * @param error how
   */
  record CallFailed(PlatformError error) implements AttemptFailure {}

  /**
   * A chunk or the end was not what belongs there.
   *
   * @param verdict what was wrong
   */
  record InvalidStream(StreamAssembler.Verdict verdict) implements AttemptFailure {}

  /** The runner sent nothing for too long. */
  record Stalled() implements AttemptFailure {}
}
