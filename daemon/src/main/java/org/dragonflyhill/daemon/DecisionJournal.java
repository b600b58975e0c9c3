package org.dragonflyhill.daemon;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflyhill.core.Placement;

/**
 * Remembers why recent requests went where they went.
 *
 * <p>Holds a bounded number of requests and no prompt text. Thread-safe; no argument may be null.
 */
public final class DecisionJournal {

  /** Requests that are remembered; the oldest is forgotten first. */
  public static final int CAPACITY_REQUESTS = 10_000;

  /** Placements that are remembered for each request. */
  private static final int MAX_PLACEMENTS = 16;

  private final Map<String, RequestEntry> entries =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RequestEntry> eldest) {
          return size() > CAPACITY_REQUESTS;
        }
      };

  /** Notes a classified request. */
  public synchronized void recordReceived(RequestContext context) {
    entries.put(context.requestId(), new RequestEntry(context));
  }

  /**
   * Notes where a request was sent.
   *
   * @param requestId id of the request
   * @param choice estimate behind the decision
   * @param reason why it was placed, such as {@code first} or the reason of a retry
   */
  public synchronized void recordPlacement(
      String requestId, Placement.Choice choice, String reason) {
    RequestEntry entry = entries.get(requestId);
    if (entry != null && entry.placements.size() < MAX_PLACEMENTS) {
      entry.placements.add(new RecordedPlacement(reason, choice));
    }
  }

  /** Notes what the caller got: {@code answered}, {@code streamed} or the code of a refusal. */
  public synchronized void recordOutcome(String requestId, String outcome) {
    RequestEntry entry = entries.get(requestId);
    if (entry != null) {
      entry.outcome = Optional.of(outcome);
    }
  }

  /** Finds what is remembered of a request. */
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
   * Why a request went where it went.
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
   * One placement.
   *
   * @param reason why it was placed
   * @param choice estimate behind the decision
   */
  public record RecordedPlacement(String reason, Placement.Choice choice) {}
}
