package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** The salts that keep cached parts of organisations apart. */
public final class CacheSaltTest {

  private static Organisation organisation(String name, boolean isIsolated) {
    return new Organisation(name, Set.of("key-" + name), OptionalInt.empty(), isIsolated);
  }

  private static final Organisation GRANJA = organisation("granja", false);
  private static final Organisation ISOLATED_GRANJA = organisation("granja", true);
  private static final Organisation VECINO = organisation("vecino", false);

  private static String salt(List<Organisation> all, Organisation caller) {
    return new CacheSalt(all).of("m", 2, Optional.of(caller));
  }

  /**
   * Guards against the cache of an organisation that was isolated later being used by others
   * (review case 4): it has left parts under the salt that all shared.
   */
  @Test
  public void sharedSaltChangesWhenAnOrganisationIsIsolated() {
    String before = salt(List.of(GRANJA, VECINO), GRANJA);
    assertEquals(salt(List.of(GRANJA, VECINO), VECINO), before);
    String others = salt(List.of(ISOLATED_GRANJA, VECINO), VECINO);
    assertNotEquals(others, before);
    assertNotEquals(salt(List.of(ISOLATED_GRANJA, VECINO), ISOLATED_GRANJA), others);
    assertNotEquals(salt(List.of(ISOLATED_GRANJA, VECINO), ISOLATED_GRANJA), before);
    assertEquals(salt(List.of(VECINO, ISOLATED_GRANJA), VECINO), others, "in any order");
  }

  /** Each set of isolated organisations has a shared salt of its own. */
  @Test
  public void setsOfIsolatedOrganisationsDiffer() {
    Set<String> salts = new HashSet<>();
    for (List<String> isolated :
        List.of(List.<String>of(), List.of("a"), List.of("b"), List.of("a", "b"), List.of("ab"))) {
      salts.add(salt(isolated.stream().map(name -> organisation(name, true)).toList(), VECINO));
    }
    assertEquals(salts.size(), 5, salts.toString());
  }

  /** The salt that all share is as in the release before, so that both share their cache. */
  @Test
  public void sharedSaltIsThatOfTheReleaseBefore() {
    assertEquals(salt(List.of(GRANJA, VECINO), VECINO), "m@2");
    String shared = salt(List.of(ISOLATED_GRANJA, VECINO), VECINO);
    assertEquals(shared, "m@2##c3d6db33312b07fa");
    assertEquals(new CacheSalt(List.of()).of("org/m-7b", 2, Optional.empty()), "org/m-7b@2");
  }

  /** Names that header fields, earlier releases or separators of salts made alike. */
  private static final List<String> NAMES =
      List.of(
          "Klub",
          "Klub ",
          " Klub",
          "Klub Šaľa",
          "Klub Čaľa",
          "Klub ?a?a",
          "Š",
          "%C5%A0",
          "%25C5%25A0",
          "Š?",
          "??",
          "?",
          "Ž",
          "Å½",
          "č",
          "c\u030C", // with a combining caron
          "lé",
          "lę",
          "🐔",
          "🐓",
          "a\nb",
          "a+b",
          "a b",
          "a%20b",
          "m",
          "m@1",
          "m@2",
          "m/1",
          "m@1#Klub",
          "m/1/Klub",
          "m#Klub",
          "#c3d6db33312b07fa",
          "#",
          "/",
          "@");

  /**
   * Guards against isolated organisations that share a salt (review case 7), and against models
   * that do: two names that differ have salts that differ, of visible ASCII characters only.
   */
  @Test
  public void differentNamesHaveDifferentSalts() {
    List<Organisation> all = NAMES.stream().map(name -> organisation(name, true)).toList();
    CacheSalt salts = new CacheSalt(all);
    Set<String> seen = new HashSet<>();
    for (String model : NAMES) {
      for (long version : new long[] {0, 1, 2, 11}) {
        List<Optional<Organisation>> callers = new ArrayList<>();
        all.forEach(organisation -> callers.add(Optional.of(organisation)));
        callers.add(Optional.empty());
        for (Optional<Organisation> caller : callers) {
          String salt = salts.of(model, version, caller);
          assertTrue(salt.matches("[!-~]+"), salt);
          assertTrue(seen.add(salt), "twice: " + salt);
          assertEquals(CacheSalt.weightVersion(salt, model), OptionalLong.of(version), salt);
        }
      }
    }
  }

  /** Returns the salt of release 3ede14c as runners received it. */
  private static String saltOfReleaseBefore(String model, long version, String suffix) {
    return (model + "@" + version + suffix)
        .codePoints()
        .boxed()
        .flatMap(
            c ->
                c > 0xFF
                    ? Stream.generate(() -> "?").limit(Character.charCount(c))
                    : Stream.of(Character.toString(c)))
        .collect(Collectors.joining())
        .strip();
  }

  /**
   * Guards against a wall that falls during an upgrade: nodes of the release before wrote names as
   * they are, and a node of this one shares a salt with them only where it is the shared one of the
   * same model, version and isolated organisations.
   */
  @Test
  public void sharesOnlySharedSaltsWithTheReleaseBefore() {
    List<Organisation> all = NAMES.stream().map(name -> organisation(name, true)).toList();
    CacheSalt salts = new CacheSalt(all);
    String digest = salts.of("m", 1, Optional.empty()).substring("m@1".length());
    // The model is named by a header field, which cannot begin or end with a space.
    List<String> models = NAMES.stream().filter(name -> name.equals(name.strip())).toList();
    Map<String, String> before = new HashMap<>();
    for (String model : models) {
      for (long version : new long[] {0, 1, 2}) {
        for (String name : NAMES) {
          before.put(saltOfReleaseBefore(model, version, "#" + name), "isolated");
        }
      }
    }
    for (String model : models) {
      for (long version : new long[] {0, 1, 2}) {
        String shared = saltOfReleaseBefore(model, version, digest);
        before.merge(shared, model + " " + version, (one, other) -> one + ", " + other);
      }
    }
    for (String model : models) {
      for (long version : new long[] {0, 1, 2}) {
        for (Organisation organisation : all) {
          String isolated = salts.of(model, version, Optional.of(organisation));
          assertFalse(before.containsKey(isolated), isolated);
        }
        String shared = salts.of(model, version, Optional.empty());
        String sharedBefore = before.getOrDefault(shared, model + " " + version);
        assertEquals(sharedBefore, model + " " + version, shared);
      }
    }
  }

  /** A salt is told apart from those of models whose names begin alike, also in earlier forms. */
  @Test
  public void readsTheWeightVersionOfItsModelOnly() {
    assertEquals(CacheSalt.weightVersion("m@3", "m"), OptionalLong.of(3));
    assertEquals(CacheSalt.weightVersion("m@3#granja", "m"), OptionalLong.of(3));
    assertEquals(CacheSalt.weightVersion("m@2b@3", "m"), OptionalLong.empty());
    assertEquals(CacheSalt.weightVersion("m@2b@3", "m@2b"), OptionalLong.of(3));
    assertEquals(CacheSalt.weightVersion("m@", "m"), OptionalLong.empty());
    assertEquals(CacheSalt.weightVersion("m@" + "9".repeat(40), "m"), OptionalLong.empty());
    assertEquals(CacheSalt.weightVersion("s1", "m"), OptionalLong.empty());
  }

  /**
   * What the isolated organisations of one configuration have left is out of reach under any later
   * one (review case 4): isolated again, removed, added again, or one of several.
   */
  @Test
  public void isolatedPartsStayApartOverChangesOfTheConfiguration() {
    Organisation bravo = organisation("bravo", false);
    Organisation isolatedBravo = organisation("bravo", true);
    List<List<Organisation>> configurations =
        List.of(
            List.of(GRANJA, VECINO, bravo),
            List.of(ISOLATED_GRANJA, VECINO, bravo),
            List.of(VECINO, bravo),
            List.of(GRANJA, VECINO, isolatedBravo),
            List.of(ISOLATED_GRANJA, VECINO, isolatedBravo),
            List.of(VECINO),
            List.of(ISOLATED_GRANJA));
    Map<String, Set<String>> writers = new HashMap<>();
    for (List<Organisation> writing : configurations) {
      for (Organisation writer : writing) {
        writers.computeIfAbsent(salt(writing, writer), any -> new HashSet<>()).add(writer.name());
      }
    }
    for (List<Organisation> reading : configurations) {
      for (Organisation reader : reading) {
        Set<String> makers = writers.get(salt(reading, reader));
        if (reader.isIsolated()) {
          assertEquals(makers, Set.of(reader.name()));
        }
        reading.stream()
            .filter(other -> other.isIsolated() && !other.equals(reader))
            .forEach(other -> assertFalse(makers.contains(other.name()), other.name()));
      }
    }
  }
}
