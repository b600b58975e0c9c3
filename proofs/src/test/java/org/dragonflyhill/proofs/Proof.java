package org.dragonflyhill.proofs;

import static org.testng.Assert.assertEquals;

import java.util.Random;

/** Random seed and result lines of the process tests; {@code scripts/prove} prints the lines. */
final class Proof {

  /** Prefix by which {@code scripts/prove} finds the result lines. */
  static final String LINE_PREFIX = "PROOF";

  private static final long DEFAULT_SEED = 1;

  private Proof() {}

  /** Returns the seed of this run, from the system property {@code dragonflyhill.seed}. */
  static long seed() {
    return Long.getLong("dragonflyhill.seed", DEFAULT_SEED);
  }

  /** Returns a random source that depends only on the seed and a name. */
  static Random random(String name) {
    return new Random(seed() * 31 + name.hashCode());
  }

  /**
   * Prints a result line and fails the test if there was a violation.
   *
   * @param guarantee the guarantee under test, with its number in docs/PROOFS.md
   * @param failure the failure that the test caused
   * @param rounds how often the test caused the failure
   * @param requests number of requests sent
   * @param violations number of violations, counted from the records of the stand-ins
   */
  static void report(String guarantee, String failure, int rounds, int requests, int violations) {
    System.out.printf(
        "%s %s | %s | rounds %d | requests %d | violations %d | seed %d%n",
        LINE_PREFIX, guarantee, failure, rounds, requests, violations, seed());
    assertEquals(violations, 0, guarantee + " under " + failure);
  }
}
