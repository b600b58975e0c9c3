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
    var treatment =
        new RequestContext.Treatment("question", Urgency.ORDINARY, true, 1, 1, Instant.EPOCH);
    return new RequestContext(
            id,
            Instant.EPOCH,
            headers,
            new Call.OutcomeQuery("k"),
            Optional.empty(),
            Optional.empty())
        .withOrganisation(new Organisation("granja", List.of(), 1, 1))
        .withTreatment(treatment);
  }

  @Test
  public void tellsPlacementsInOrder() {
    DecisionJournal journal = new DecisionJournal();
    journal.received(request("r1"));
    journal.placed("r1", new Placement.Choice("a", 0, 10, 0.1, 0.1), "first");
    journal.placed("r1", new Placement.Choice("b", 0, 10, 0.1, 0.1), "stream_cut");
    journal.ended("r1", "answered");
    var explanation = journal.explain("r1").orElseThrow();
    assertEquals(explanation.placements().get(1).choice().runner(), "b");
    assertEquals(explanation.outcome(), Optional.of("answered"));
  }

  @Test
  public void forgetsOldestBeyondCapacity() {
    DecisionJournal journal = new DecisionJournal();
    for (int i = 0; i <= DecisionJournal.CAPACITY_REQUESTS; i++) {
      journal.received(request("r" + i));
    }
    assertFalse(journal.explain("r0").isPresent());
    assertTrue(journal.explain("r1").isPresent());
  }
}
