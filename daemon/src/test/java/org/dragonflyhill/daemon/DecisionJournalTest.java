package org.dragonflyhill.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.dragonflyhill.core.ConfigurationObject.Organisation;
import org.dragonflyhill.core.ConfigurationObject.Urgency;
import org.dragonflyhill.core.Placement;
import org.testng.annotations.Test;

/** Tests of {@link DecisionJournal}. */
public final class DecisionJournalTest {

  private static RequestContext request(String id) {
    var headers =
        new RequestContext.Headers(
            Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
    var classification =
        new RequestContext.Classification("question", Urgency.ORDINARY, true, 1, 1, Instant.EPOCH);
    return new RequestContext(
            id,
            Instant.EPOCH,
            headers,
            new Call.OutcomeQuery("k"),
            Optional.empty(),
            Optional.empty())
        .withOrganisation(new Organisation("granja", List.of(), 1, 1))
        .withClassification(classification);
  }

  @Test
  public void explainsPlacementsInOrder() {
    DecisionJournal journal = new DecisionJournal();
    journal.recordReceived(request("r1"));
    journal.recordPlacement("r1", new Placement.Choice("a", 0, 10, 0.1, 0.1), "first");
    journal.recordPlacement("r1", new Placement.Choice("b", 0, 10, 0.1, 0.1), "stream_cut");
    journal.recordOutcome("r1", "answered");
    var explanation = journal.explain("r1").orElseThrow();
    assertEquals(explanation.placements().get(1).choice().runner(), "b");
    assertEquals(explanation.outcome(), Optional.of("answered"));
  }

  @Test
  public void evictsOldestRequestBeyondCapacity() {
    DecisionJournal journal = new DecisionJournal();
    for (int i = 0; i <= DecisionJournal.CAPACITY_REQUESTS; i++) {
      journal.recordReceived(request("r" + i));
    }
    assertFalse(journal.explain("r0").isPresent());
    assertTrue(journal.explain("r1").isPresent());
  }
}
