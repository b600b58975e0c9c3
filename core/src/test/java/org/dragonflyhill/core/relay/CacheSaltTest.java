package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
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

  /** Without isolated organisations the salt is as in the release before; it names the version. */
  @Test
  public void startsWithModelAndVersion() {
    assertEquals(salt(List.of(GRANJA, VECINO), VECINO), "m@2");
    assertEquals(salt(List.of(ISOLATED_GRANJA), ISOLATED_GRANJA), "m@2#granja");
    String shared = salt(List.of(ISOLATED_GRANJA, VECINO), VECINO);
    assertEquals(shared.substring("m@".length()).split("#", 2)[0], "2");
  }
}
