package org.dragonflyhill.daemon;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.dragonflyhill.core.ConfigurationObject.Model;

/** Chooses the place of each attempt of a completion. Thread-safe; nothing is null. */
interface Placer {

  /** Places an attempt, never on an excluded runner; see {@link PlacementController#place}. */
  Optional<PlacementController.PlacedAttempt> place(
      RequestContext context, Model model, Call.Completion call, Set<String> excluded, Instant now);

  /**
   * Notes that a placed completion was served whole.
   *
   * @param placed its place
   * @param importedTokens tokens that the runner says it imported
   * @param now present time
   */
  void recordServed(PlacementController.PlacedAttempt placed, long importedTokens, Instant now);

  /** Returns the placement of a node. */
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
          PlacementController.PlacedAttempt placed, long importedTokens, Instant now) {
        placement.recordServed(placed, importedTokens, now);
      }
    };
  }
}
