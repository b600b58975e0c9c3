package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link HedgePolicy}, {@link HedgeBudget} and {@link FirstResponseTimes}. */
public final class HedgePolicyTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000);
  private static final Duration LATE = Duration.ofSeconds(20);
  private static final double SHARE = 0.05;
  private static final int SLOTS = 4;

  /** Requests that earn one hedge at {@link #SHARE}. */
  private static final int REQUESTS_PER_HEDGE = 20;

  private static final Prompt PROMPT =
      new Prompt(
          "m", 3_000, 100, List.of(new Prompt.Part("a", 2_000), new Prompt.Part("b", 1_000)));

  private HedgePolicy policy;
  private Runner first;
  private Runner second;

  /** Creates a policy that has earned one hedge, and two idle runners. */
  @BeforeMethod
  public void create() {
    policy = new HedgePolicy(SHARE);
    recordRequests(REQUESTS_PER_HEDGE);
    first = runner("r1", 1);
    second = runner("r2", 2);
  }

  private void recordRequests(int number) {
    for (int i = 0; i < number; i++) {
      policy.recordRequest("s");
    }
  }

  private static Runner runner(String id, int host) {
    return new Runner(
        new RunnerInfo(
            id,
            "s",
            new Endpoint("10.0.0." + host, 80),
            "z1",
            SLOTS,
            false,
            Map.of("m", 1L),
            Optional.empty(),
            1),
        NOW);
  }

  private Optional<HedgeDenial> denial(HedgePolicy.Copy copy) {
    return policy.denial("s", List.of(first, second), Optional.of(copy), false);
  }

  private HedgePolicy.Copy plainCopy(int running) {
    return new HedgePolicy.Copy(second, running, first, Optional.empty());
  }

  private RunnerSelector.Selection selection(
      long prefill, double memorySeconds, double seconds, List<Endpoint> sources) {
    return new RunnerSelector.Selection(
        second,
        1,
        "m@1",
        List.of(),
        sources,
        prefill,
        0,
        85_200,
        0,
        memorySeconds,
        0,
        0,
        seconds,
        seconds,
        0);
  }

  private HedgePolicy.Copy promptCopy(RunnerSelector.Selection selection, boolean canFetch) {
    var prompted = new HedgePolicy.Prompted(PROMPT, selection, canFetch);
    return new HedgePolicy.Copy(second, 0, first, Optional.of(prompted));
  }

  /** Guards against a setting that is taken for another value, or for "off", without a word. */
  @Test(dataProvider = "invalidShares")
  public void refusesInvalidShare(String text) {
    String error = HedgePolicy.parse(Optional.of(text)).getLeft();
    assertTrue(error.contains("\"" + text + "\"") && error.contains("0.2"), error);
  }

  /** Shares out of range and texts that are no number. */
  @DataProvider
  public static Object[][] invalidShares() {
    return new Object[][] {{"0.21"}, {"-0.01"}, {"NaN"}, {"5%"}, {""}, {"Infinity"}};
  }

  /** Guards against nodes that hedge although their operator did not ask for it. */
  @Test
  public void isOffByDefaultAndAtZero() {
    assertTrue(HedgePolicy.parse(Optional.empty()).get().isEmpty());
    assertTrue(HedgePolicy.parse(Optional.of("0")).get().isEmpty());
    assertTrue(HedgePolicy.parse(Optional.of("0.2")).get().isPresent());
  }

  /** Guards against an overload by hedges: when every request is late, the share still holds. */
  @Test
  public void hedgesOfManyNodesKeepTheShareWhenAllRequestsAreLate() {
    int requests = 0;
    int hedges = 0;
    for (int node = 0; node < 143; node++) {
      policy = new HedgePolicy(SHARE);
      for (int i = 0; i < 50; i++) {
        requests++;
        policy.recordRequest("s");
        if (denial(plainCopy(0)).isEmpty()) {
          policy.recordHedge("s");
          hedges++;
        }
      }
    }
    assertTrue(hedges > 0 && hedges <= requests * SHARE, hedges + " of " + requests);
  }

  /** Guards against a burst of saved hedges when all runners slow down after a calm hour. */
  @Test
  public void savesFewHedges() {
    recordRequests(10_000);
    int hedges = 0;
    while (hedges < REQUESTS_PER_HEDGE && denial(plainCopy(0)).isEmpty()) {
      policy.recordHedge("s");
      hedges++;
    }
    assertEquals(hedges, (int) HedgeBudget.MAX_SAVED);
    assertEquals(denial(plainCopy(0)), Optional.of(HedgeDenial.SHARE));
  }

  /** Guards against the load of one service that uses up the share of another. */
  @Test
  public void requestsOfOtherServiceEarnNothing() {
    assertEquals(
        policy.denial("t", List.of(), Optional.of(plainCopy(0)), false),
        Optional.of(HedgeDenial.SHARE));
  }

  /** Guards against copies to runners that do not answer, want none, or will be gone. */
  @Test
  public void copiesGoToSoundRunnersOnly() {
    Runner ejected = runner("ejected", 3);
    ejected.eject(NOW);
    Runner silenced = runner("silenced", 4);
    silenced.ejectForSilence(NOW);
    Runner silent = runner("silent", 5);
    silent.requestSent(0, 0, 0, NOW.minus(LATE));
    Runner draining = runner("draining", 6);
    draining.markDraining();
    Runner busy = runner("busy", 7);
    busy.backOff(Duration.ofSeconds(1), NOW);
    Runner limited = runner("limited", 8);
    limited.rateLimit().observeReported(OptionalDouble.of(5), NOW);
    Runner changing = runner("changing", 9);
    changing.setChangingWeights(true);
    // The entry was last active long ago, so that only the unanswered request makes it silent.
    silent.recordActivity(NOW.minus(LATE));
    assertEquals(
        policy.candidates(
            List.of(ejected, silenced, silent, draining, busy, limited, changing, second), NOW),
        List.of(second));
    assertEquals(
        policy.denial("s", List.of(first), Optional.empty(), false),
        Optional.of(HedgeDenial.NO_RUNNER));
  }

  /** Guards against extra load on a service that is at its limit, at whichever runner. */
  @Test
  public void noHedgeWhileAnyRunnerLimitsItsRate() {
    first.rateLimit().observeReported(OptionalDouble.of(5), NOW);
    assertEquals(denial(plainCopy(0)), Optional.of(HedgeDenial.RATE_LIMIT));
  }

  /** Guards against copies that take the place of new requests. */
  @Test
  public void noHedgeWhileCapacityIsShort() {
    assertEquals(denial(plainCopy(SLOTS - 1)), Optional.empty());
    assertEquals(denial(plainCopy(SLOTS)), Optional.of(HedgeDenial.CAPACITY));
    assertEquals(
        policy.denial("s", List.of(first), Optional.of(plainCopy(0)), true),
        Optional.of(HedgeDenial.CAPACITY));
    assertEquals(
        denial(promptCopy(selection(1_000, 0.1, 0.1, List.of()), true)),
        Optional.of(HedgeDenial.CAPACITY));
  }

  /** Guards against a large shared part that is prefilled twice at the same time. */
  @Test
  public void noHedgeThatPrefillsSharedParts() {
    Endpoint store = new Endpoint("10.0.1.1", 80);
    assertEquals(
        denial(promptCopy(selection(1_000, 0, 0.1, List.of(store)), true)), Optional.empty());
    assertEquals(
        denial(promptCopy(selection(1_001, 0, 0.1, List.of()), true)),
        Optional.of(HedgeDenial.RECOMPUTATION));
    assertEquals(
        denial(promptCopy(selection(1_000, 0, 0.1, List.of(first.info().endpoint())), true)),
        Optional.of(HedgeDenial.RECOMPUTATION));
    assertEquals(
        denial(promptCopy(selection(1_000, 0, 0.1, List.of(store)), false)),
        Optional.of(HedgeDenial.RECOMPUTATION));
  }

  /** Guards against copies that are cancelled before they can be answered. */
  @Test
  public void noHedgeThatTakesLongerThanBothCopiesMayRun() {
    assertEquals(
        denial(promptCopy(selection(1_000, 0, 0.3, List.of()), true)),
        Optional.of(HedgeDenial.TOO_SLOW));
  }

  /** Guards against hedges by a quantile of a handful of times. */
  @Test
  public void fewTimesYieldNoDelay() {
    for (int i = 0; i < FirstResponseTimes.MIN_SAMPLES - 1; i++) {
      policy.recordFirstResponse("r", Duration.ZERO, Duration.ofMillis(10), NOW);
    }
    assertFalse(policy.isDue("r", Duration.ZERO, LATE, NOW));
    policy.recordFirstResponse("r", Duration.ZERO, Duration.ofMillis(10), NOW);
    Instant later = NOW.plusSeconds(1);
    assertTrue(policy.isDue("r", Duration.ZERO, LATE, later));
    assertFalse(policy.isDue("other", Duration.ZERO, LATE, later));
  }

  /** Guards against a delay that follows neither the present times nor an end of the traffic. */
  @Test
  public void delayFollowsTimesOfTheWindow() {
    FirstResponseTimes times = new FirstResponseTimes();
    Random random = new Random(1);
    for (int i = 0; i < 1_000; i++) {
      times.record(Duration.ZERO, Duration.ofMillis(random.nextInt(1_000)), NOW);
    }
    long before = times.delay(Duration.ZERO, NOW).orElseThrow().toMillis();
    assertTrue(before > 920 && before < 980, before + " ms");
    Instant later = NOW.plus(FirstResponseTimes.WINDOW);
    assertTrue(times.delay(Duration.ZERO, later).isEmpty());
    for (int i = 0; i < 100; i++) {
      times.record(Duration.ZERO, Duration.ofMillis(200), later);
    }
    long after = times.delay(Duration.ZERO, later.plusSeconds(1)).orElseThrow().toMillis();
    assertTrue(after > 190 && after < 210, after + " ms");
  }

  /** Guards against large prompts that are hedged merely for their size. */
  @Test
  public void delayIsScaledByExpectedTime() {
    FirstResponseTimes times = new FirstResponseTimes();
    for (int i = 0; i < 100; i++) {
      times.record(Duration.ofMillis(100), Duration.ofMillis(150), NOW);
    }
    long large = times.delay(Duration.ofSeconds(1), NOW).orElseThrow().toMillis();
    assertTrue(large > 1_300 && large < 1_400, large + " ms");
    assertEquals(times.delay(Duration.ZERO, NOW).orElseThrow(), FirstResponseTimes.MIN_DELAY);
  }
}
