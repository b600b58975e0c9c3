package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests of {@link Placement}. */
public final class PlacementTest {

  private static final Placement PLACEMENT = new Placement(new Placement.Weights(1, 0));
  private static final Placement.Request REQUEST = new Placement.Request(4_000, 1_000, 1_000);

  private static Placement.Candidate importingCandidate(Duration linkWait) {
    return new Placement.Candidate(
        "a", Duration.ZERO, Duration.ZERO, 0, 2_000, 2_000_000, linkWait);
  }

  private static Placement.Candidate idleCandidate(String runner, long cachedTokens) {
    return new Placement.Candidate(runner, Duration.ZERO, Duration.ZERO, cachedTokens, 0, 1);
  }

  @Test
  public void choosesImportThatStartsAtOnce() {
    var choice =
        PLACEMENT.choose(REQUEST, List.of(importingCandidate(Duration.ZERO))).orElseThrow();
    assertEquals(choice.importTokens(), 2_000);
  }

  @Test
  public void rejectsImportThatWaitsLongerThanPrefill() {
    var waiting = importingCandidate(Duration.ofSeconds(2));
    assertEquals(PLACEMENT.choose(REQUEST, List.of(waiting)).orElseThrow().importTokens(), 0);
  }

  @Test
  public void spreadsRequestsOverEqualRunners() {
    List<Placement.Candidate> equal =
        List.of(idleCandidate("a", 0), idleCandidate("b", 0), idleCandidate("c", 0));
    Random random = new Random(1);
    Set<String> chosen =
        IntStream.range(0, 50)
            .mapToObj(turn -> PLACEMENT.choose(REQUEST, equal, random).orElseThrow().runner())
            .collect(Collectors.toSet());
    assertEquals(chosen, Set.of("a", "b", "c"));
  }

  @Test
  public void prefersRunnerWithCachedPrefix() {
    List<Placement.Candidate> candidates =
        List.of(idleCandidate("a", 0), idleCandidate("b", 2_000));
    assertEquals(PLACEMENT.choose(REQUEST, candidates, new Random(1)).orElseThrow().runner(), "b");
  }

  @Test
  public void returnsEmptyWithoutCandidates() {
    assertTrue(PLACEMENT.choose(REQUEST, List.of(), new Random(1)).isEmpty());
  }
}
