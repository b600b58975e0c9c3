package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Choice of the store for a part, and the directory of cached parts. */
public final class PartPlacementTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final String SALT = "m@1";

  private final List<Service.Store> stores =
      List.of(store("a", 1, 10_000), store("b", 2, 10_000), store("c", 3, 40_000));

  private static Service.Store store(String name, int host, long tokens) {
    return new Service.Store(name, new Endpoint("10.9.0." + host, 80), "z", tokens, 1e9, true, 4);
  }

  private static List<Prompt.Part> part(int number) {
    return List.of(new Prompt.Part("p" + number, 500));
  }

  /** Nodes with the same knowledge choose the same store, and larger stores get more parts. */
  @Test
  public void nodesAgree() {
    int[] counts = new int[3];
    for (int i = 0; i < 60; i++) {
      var first =
          new PartPlacement(new PartDirectory()).saveTargets(SALT, part(i), stores, NOW).get(0);
      var second =
          new PartPlacement(new PartDirectory()).saveTargets(SALT, part(i), stores, NOW).get(0);
      assertEquals(first, second);
      counts[first.orElseThrow().host().charAt(7) - '1']++;
    }
    assertTrue(counts[2] > 25, "large store got " + counts[2]);
    assertTrue(counts[0] > 2 && counts[1] > 2, counts[0] + ", " + counts[1]);
  }

  /** A part is not saved again while a save is pending or after it is stored. */
  @Test
  public void savesOnce() {
    PartDirectory directory = new PartDirectory();
    PartPlacement placement = new PartPlacement(directory);
    Endpoint chosen = placement.saveTargets(SALT, part(1), stores, NOW).get(0).orElseThrow();
    assertEquals(
        placement.saveTargets(SALT, part(1), stores, NOW.plusMillis(100)).get(0), Optional.empty());
    directory.setTokens(chosen, SALT, "p1", 500);
    Instant later = NOW.plus(PartPlacement.PENDING_TTL).plusMillis(1);
    assertEquals(placement.saveTargets(SALT, part(1), stores, later).get(0), Optional.empty());
    directory.forget(chosen);
    assertTrue(placement.saveTargets(SALT, part(1), stores, later).get(0).isPresent());
  }

  /** No part is saved to a store without room, since a full managed store would lose it. */
  @Test
  public void respectsRoom() {
    PartPlacement placement = new PartPlacement(new PartDirectory());
    List<Service.Store> small = List.of(store("a", 1, 1_100));
    assertTrue(placement.saveTargets(SALT, part(1), small, NOW).get(0).isPresent());
    assertTrue(placement.saveTargets(SALT, part(2), small, NOW).get(0).isPresent());
    assertFalse(placement.saveTargets(SALT, part(3), small, NOW).get(0).isPresent());
  }

  /** Totals follow all changes, including parts that shrink. */
  @Test
  public void countsTokens() {
    PartDirectory directory = new PartDirectory();
    Endpoint holder = new Endpoint("10.0.0.1", 80);
    directory.setTokens(holder, SALT, "a", 500);
    directory.setTokens(holder, SALT, "b", 300);
    directory.setTokens(holder, SALT, "a", 128);
    assertEquals(directory.totalTokens(holder), 428);
    assertFalse(directory.holds(holder, SALT, new Prompt.Part("a", 500)));
    directory.setTokens(holder, SALT, "b", 0);
    assertEquals(directory.totalTokens(holder), 128);
    directory.forget(holder);
    assertEquals(directory.totalTokens(holder), 0);
  }

  /** Parts are never found under another salt, which separates organisations and weights. */
  @Test
  public void separatesSalts() {
    PartDirectory directory = new PartDirectory();
    Endpoint holder = new Endpoint("10.0.0.1", 80);
    directory.setTokens(holder, "m@1", "a", 500);
    assertEquals(directory.tokens(holder, "m@2", "a"), 0);
    assertEquals(directory.tokens(holder, "m@1#granja", "a"), 0);
    assertEquals(
        directory.partsWithSalt(holder, "m@1"::equals), List.of(new PartDirectory.Key("m@1", "a")));
  }

  /** The entries of a holder that has stopped reporting are not relied on. */
  @Test
  public void silentHolderIsNotFresh() {
    PartDirectory directory = new PartDirectory();
    Endpoint holder = new Endpoint("10.0.0.1", 80);
    assertFalse(directory.isFresh(holder, NOW));
    directory.markFresh(holder, NOW);
    assertTrue(directory.isFresh(holder, NOW.plusMillis(1_600)));
    assertFalse(directory.isFresh(holder, NOW.plusMillis(1_601)));
  }
}
