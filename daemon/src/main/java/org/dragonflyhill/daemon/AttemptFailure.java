package org.dragonflyhill.daemon;

import java.util.List;
import org.dragonflyhill.core.StreamAssembler;
import org.dragonflyhill.ports.PlatformError;

/**
 * The reason why an attempt at a completion failed.
 *
 * <p>All variants are immutable and thread-safe. Components are never null.
 */
sealed interface AttemptFailure {

  /** All codes, so that the retry counter of each code can be created at startup. */
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

  /** Returns the code under which retries for this reason are counted. */
  default String code() {
    return switch (this) {
      case CallFailed failed ->
          switch (failed.error()) {
            case PlatformError.NotSent notSent -> "not_sent";
            case PlatformError.Lost lost -> "lost";
            case PlatformError.Refused refused -> "refused";
            case PlatformError.Malformed malformed -> "malformed";
          };
      case InvalidStream chunk -> chunk.verdict().code();
      case Stalled stalled -> "stalled";
    };
  }

  /** Returns whether the request certainly had no effect on the runner. */
  default boolean isWithoutEffect() {
    return this instanceof CallFailed call && call.error().isWithoutEffect();
  }

  /** Returns whether the runner responded with another weight version. */
  default boolean isWrongWeightVersion() {
    return this instanceof InvalidStream chunk
        && chunk.verdict() == StreamAssembler.Verdict.WRONG_WEIGHT_VERSION;
  }

  /**
   * The call to the runner failed.
   *
   * @param error the error of the call
   */
  record CallFailed(PlatformError error) implements AttemptFailure {}

  /**
   * A chunk or the end marker of the stream did not pass the check.
   *
   * @param verdict the fault that the check found
   */
  record InvalidStream(StreamAssembler.Verdict verdict) implements AttemptFailure {}

  /** The stream stalled: the runner sent nothing for {@link CompletionRun#STALL_TIMEOUT}. */
  record Stalled() implements AttemptFailure {}
}
