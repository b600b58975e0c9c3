package org.dragonflyhill.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.Placement;

/**
 * Why a request went where it went, as a node tells it.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param requestId id of the request
 * @param organisation who asked
 * @param task its task
 * @param urgency its urgency
 * @param isRepeatable whether it may run more than once
 * @param receivedAtMillis when it arrived, milliseconds since the epoch
 * @param placements where it was sent, in order
 * @param outcome what the caller got; empty while it runs
 */
record Explanation(
    String requestId,
    String organisation,
    String task,
    String urgency,
    boolean isRepeatable,
    long receivedAtMillis,
    List<PlacementNote> placements,
    Optional<String> outcome) {

  Output.Table table(String node) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("node", node));
    rows.add(List.of("organisation", organisation));
    rows.add(List.of("task", task + ", " + urgency + (isRepeatable ? "" : ", not repeatable")));
    for (PlacementNote note : placements) {
      rows.add(List.of("placed (" + note.reason() + ")", note.text()));
    }
    rows.add(List.of("outcome", outcome.orElse("still running")));
    return new Output.Table(List.of("REQUEST", requestId), rows);
  }

  /**
   * One placement.
   *
   * @param reason why it was placed
   * @param choice estimate behind the decision
   */
  record PlacementNote(String reason, Placement.Choice choice) {

    String text() {
      return "%s: import %d tokens, compute %d, first token after %.3f s, cost %.3f"
          .formatted(
              choice.runner(),
              choice.importTokens(),
              choice.computeTokens(),
              choice.firstTokenSeconds(),
              choice.cost());
    }
  }
}
