package org.dragonflyhill.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests of {@link CandidateSelection}. */
public final class CandidateSelectionTest {

  private static List<String> names(int count) {
    return IntStream.range(0, count).mapToObj(number -> "runner-" + number).toList();
  }

  @Test
  public void selectsAllRunnersWhenFew() {
    var selection = new CandidateSelection(names(8), 4, 4);
    assertEquals(selection.select("p", new Random(1)), names(8));
  }

  @Test
  public void topRunnersDoNotDependOnRandomSource() {
    var selection = new CandidateSelection(names(1_000), 4, 4);
    List<String> first = selection.select("p", new Random(1)).subList(0, 4);
    assertEquals(selection.select("p", new Random(2)).subList(0, 4), first);
  }

  @Test
  public void removingOneRunnerKeepsOtherTopRunners() {
    List<String> all = names(1_000);
    List<String> before = new CandidateSelection(all, 4, 0).select("p", new Random(1));
    List<String> rest = all.stream().filter(name -> !name.equals(before.getFirst())).toList();
    List<String> after = new CandidateSelection(rest, 4, 0).select("p", new Random(1));
    assertEquals(after.subList(0, 3), before.subList(1, 4));
  }

  @Test
  public void spreadsKeysOverRunners() {
    var selection = new CandidateSelection(names(100), 1, 0);
    long topRunners =
        IntStream.range(0, 1_000)
            .mapToObj(key -> selection.select("p" + key, new Random(1)).getFirst())
            .distinct()
            .count();
    assertTrue(topRunners > 95, topRunners + " of 100 runners rank first for a key");
  }
}
