package org.dragonflyhill.proofs;

import static org.testng.Assert.assertEquals;

import java.util.Random;

/** Seed and report of the process suite; {@code scripts/prove} prints the reported lines. */
final class Proof {

  /** Mark by which {@code scripts/prove} finds the lines. */
  static final String LINE_PREFIX = "PROOF";

  private static final long DEFAULT_SEED = 1;

  private Proof() {}

  /** Returns the seed of this run, from the system property {@code dragonflyhill.seed}. */
  static long seed() {
    return Long.getLong("dragonflyhill.seed", DEFAULT_SEED);
  }

  /** Returns a random source that depends on the seed and the name of the proof only. */
  static Random random(String name) {
    return new Random(seed() * 31 + name.hashCode());
  }

  /**
   * Prints one line and fails if there was a violation.
   *
   * @param guarantee the promise, with its number in docs/PROOFS.md
   * @param failure the failure that was caused
   * @param rounds how often it was caused
   * @param requests requests sent
   * @param violations violations counted from the records of the stand-ins
   */
  static void report(String guarantee, String failure, int rounds, int requests, int violations) {
    System.out.printf(
        "%s %s | %s | rounds %d | requests %d | violations %d | seed %d%n",
        LINE_PREFIX, guarantee, failure, rounds, requests, violations, seed());
    assertEquals(violations, 0, guarantee + " under " + failure);
  }
}
