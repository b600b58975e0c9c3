package org.dragonflyhill.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.Placement;

/**
 * How a node placed a request, and why, as reported by its admin interface.
 *
 * <p>Immutable and thread-safe; no component is null.
 *
 * @param requestId id of the request
 * @param organisation organisation that sent the request
 * @param task task of the request
 * @param urgency urgency of the request
 * @param isRepeatable whether the request may be executed more than once
 * @param receivedAtMillis when the node received the request, in milliseconds since the epoch
 * @param placements placements of the request, in order
 * @param outcome outcome as seen by the caller; empty while the request is running
 */
record Explanation(
    String requestId,
    String organisation,
    String task,
    String urgency,
    boolean isRepeatable,
    long receivedAtMillis,
    List<RecordedPlacement> placements,
    Optional<String> outcome) {

  Output.Table table(String node) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("node", node));
    rows.add(List.of("organisation", organisation));
    rows.add(List.of("task", task + ", " + urgency + (isRepeatable ? "" : ", not repeatable")));
    for (RecordedPlacement placement : placements) {
      rows.add(List.of("placed (" + placement.reason() + ")", placement.text()));
    }
    rows.add(List.of("outcome", outcome.orElse("still running")));
    return new Output.Table(List.of("REQUEST", requestId), rows);
  }

  /**
   * Placement of a request on a runner.
   *
   * @param reason why the request was placed, for example as a retry
   * @param choice the chosen runner with the estimates on which the choice is based
   */
  record RecordedPlacement(String reason, Placement.Choice choice) {

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
