package org.dragonflyhill.daemon;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.dragonflyhill.core.ConfigurationObject.Model;

/**
 * Chooses the runner for each attempt at a completion.
 *
 * <p>Thread-safe. Arguments and return values are never null.
 */
interface Placer {

  /** Chooses a runner that is not excluded; see {@link PlacementController#place}. */
  Optional<PlacementController.PlacedAttempt> place(
      RequestContext context, Model model, Call.Completion call, Set<String> excluded, Instant now);

  /**
   * Records that an attempt ended with a complete response.
   *
   * @param attempt the attempt
   * @param importedTokens number of tokens that the runner reports as imported
   * @param now the current time
   */
  void recordServed(PlacementController.PlacedAttempt attempt, long importedTokens, Instant now);

  /** Returns a placer that delegates to a placement controller. */
  static Placer of(PlacementController placement) {
    return new Placer() {
      @Override
      public Optional<PlacementController.PlacedAttempt> place(
          RequestContext context,
          Model model,
          Call.Completion call,
          Set<String> excluded,
          Instant now) {
        return placement.place(context, model, call, excluded, now);
      }

      @Override
      public void recordServed(
          PlacementController.PlacedAttempt attempt, long importedTokens, Instant now) {
        placement.recordServed(attempt, importedTokens, now);
      }
    };
  }
}
