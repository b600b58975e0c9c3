package org.dragonflyhill.daemon;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflyhill.core.Placement;

/**
 * Keeps the placements and outcomes of recent requests in memory, so that operators can have them
 * explained.
 *
 * <p>Keeps a bounded number of requests and no prompt text. Thread-safe; no argument may be null.
 */
public final class DecisionJournal {

  /** Maximum number of requests that are kept; beyond it, the oldest one is dropped. */
  public static final int CAPACITY_REQUESTS = 10_000;

  /** Maximum number of placements that are kept for a request; later ones are not recorded. */
  private static final int MAX_PLACEMENTS = 16;

  private final Map<String, RequestEntry> entries =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RequestEntry> eldest) {
          return size() > CAPACITY_REQUESTS;
        }
      };

  /** Records a classified request. */
  public synchronized void recordReceived(RequestContext context) {
    entries.put(context.requestId(), new RequestEntry(context));
  }

  /**
   * Records where a request was sent.
   *
   * @param requestId id of the request
   * @param choice chosen runner with the estimates behind the choice
   * @param reason why the request was placed: {@code first}, or the reason for a retry
   */
  public synchronized void recordPlacement(
      String requestId, Placement.Choice choice, String reason) {
    RequestEntry entry = entries.get(requestId);
    if (entry != null && entry.placements.size() < MAX_PLACEMENTS) {
      entry.placements.add(new RecordedPlacement(reason, choice));
    }
  }

  /**
   * Records the outcome of a request: {@code answered}, {@code streamed} or the code of a refusal.
   */
  public synchronized void recordOutcome(String requestId, String outcome) {
    RequestEntry entry = entries.get(requestId);
    if (entry != null) {
      entry.outcome = Optional.of(outcome);
    }
  }

  /** Returns what is recorded about a request; empty if it is unknown or no longer kept. */
  public synchronized Optional<Explanation> explain(String requestId) {
    return Optional.ofNullable(entries.get(requestId)).map(RequestEntry::explanation);
  }

  private static final class RequestEntry {

    private final RequestContext.Classification classification;
    private final String requestId;
    private final String organisation;
    private final long receivedAtMillis;
    private final List<RecordedPlacement> placements = new ArrayList<>();
    private Optional<String> outcome = Optional.empty();

    RequestEntry(RequestContext context) {
      requestId = context.requestId();
      organisation = context.requiredOrganisation().name();
      classification = context.requiredClassification();
      receivedAtMillis = context.receivedAt().toEpochMilli();
    }

    Explanation explanation() {
      return new Explanation(
          requestId,
          organisation,
          classification.task(),
          classification.urgency().name(),
          classification.isRepeatable(),
          receivedAtMillis,
          List.copyOf(placements),
          outcome);
    }
  }

  /**
   * Recorded placements and outcome of a request.
   *
   * @param requestId id of the request
   * @param organisation name of the calling organisation
   * @param task name of its task
   * @param urgency its urgency
   * @param isRepeatable whether the request may run more than once
   * @param receivedAtMillis when the request was received, in milliseconds since the epoch
   * @param placements its placements on runners, in order
   * @param outcome {@code answered}, {@code streamed} or the code of a refusal; empty while the
   *     request runs
   */
  public record Explanation(
      String requestId,
      String organisation,
      String task,
      String urgency,
      boolean isRepeatable,
      long receivedAtMillis,
      List<RecordedPlacement> placements,
      Optional<String> outcome) {}

  /**
   * One placement of a request.
   *
   * @param reason why the request was placed: {@code first}, or the reason for a retry
   * @param choice chosen runner with the estimates behind the choice
   */
  public record RecordedPlacement(String reason, Placement.Choice choice) {}
}
