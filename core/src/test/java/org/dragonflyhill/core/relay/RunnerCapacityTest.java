package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * What the capacity model learns under stated loads. Unless a test says otherwise, 10 runners get
 * one request of 2,870 and one of 12,000 tokens and two of 177 tokens in turn, 20 requests a second
 * in total, with 0 to 9 other requests running, for 100 s. An answer takes 5 ms plus up to 3 ms of
 * delay at the node, 4 ms for each running request, and the prefill.
 */
public final class RunnerCapacityTest {

  private static final Instant START = Instant.ofEpochSecond(1_000);
  private static final int[] TOKENS = {2_870, 177, 12_000, 177};
  private static final double RATE = ServiceCapacity.START_TOKENS_PER_SECOND;
  private static final double PER_RUNNING = ServiceCapacity.START_SECONDS_PER_RUNNING;
  private static final DoubleUnaryOperator UNCHANGED = seconds -> seconds;

  private final Random random = new Random(1);
  private ServiceCapacity service;
  private List<RunnerCapacity> runners;
  private Instant now;

  /** Creates a service with 10 runners. */
  @BeforeMethod
  public void createRunners() {
    random.setSeed(1);
    now = START;
    service = new ServiceCapacity();
    runners = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      runners.add(new RunnerCapacity(service));
    }
  }

  /** Runs the load; the first runner's answers take the time that the function returns. */
  private void run(double rate, double perRunning, DoubleUnaryOperator first, int requests) {
    for (int i = 0; i < requests; i++) {
      int index = random.nextInt(runners.size());
      int running = random.nextInt(10);
      int tokens = TOKENS[i % TOKENS.length];
      double other = 0.005 + 0.003 * random.nextDouble() + running * perRunning;
      double seconds = other + tokens / rate;
      runners
          .get(index)
          .record(tokens, running, 0, index == 0 ? first.applyAsDouble(seconds) : seconds, now);
      now = now.plusMillis(50);
    }
  }

  private static DoubleUnaryOperator slower(double factor) {
    return seconds -> seconds * factor;
  }

  private void assertOthersUsual(double rate) {
    for (RunnerCapacity runner : runners.subList(1, runners.size())) {
      assertEquals(runner.prefillTokensPerSecond(now), rate, rate * 0.1);
    }
  }

  /** Guards against a change of deployments for which the constants hold. */
  @Test
  public void keepsConstantsThatHold() {
    RunnerCapacity fresh = runners.get(0);
    assertEquals(fresh.prefillTokensPerSecond(now), RATE, 1e-6);
    assertEquals(fresh.secondsPerRunning(now), PER_RUNNING, 1e-12);
    assertEquals(fresh.deviation(now), 1.0);
    run(RATE, PER_RUNNING, UNCHANGED, 2_000);
    assertEquals(service.prefillTokensPerSecond(now), RATE, RATE * 0.05);
    assertEquals(service.secondsPerRunning(now), PER_RUNNING, PER_RUNNING * 0.1);
    assertOthersUsual(RATE);
  }

  /** Guards against constants of one deployment in another: rates of P and H, both directions. */
  @Test
  public void learnsTheRateOfTheService() {
    run(140_000, 0.0032, UNCHANGED, 2_000);
    assertEquals(service.prefillTokensPerSecond(now), 140_000, 7_000);
    assertEquals(service.secondsPerRunning(now), 0.0032, 0.0003);
    createRunners();
    run(61_800, 0.0045, UNCHANGED, 2_000);
    assertEquals(service.prefillTokensPerSecond(now), 61_800, 3_000);
    assertEquals(service.secondsPerRunning(now), 0.0045, 0.0004);
    assertOthersUsual(61_800);
  }

  /** Guards against averages that queueing unknown to the node drags: 0.1 s in a third. */
  @Test
  public void ignoresQueueingThatIsNotReported() {
    for (int i = 0; i < 1_000; i++) {
      run(RATE, PER_RUNNING, UNCHANGED, 2);
      if (i % 3 == 0) {
        recordQueued(i);
      }
    }
    assertEquals(service.prefillTokensPerSecond(now), RATE, RATE * 0.2);
  }

  /** Guards against a rate that one burst destroys: 30 samples in a row waited for 0.1 s. */
  @Test
  public void keepsMostOfTheRateInBurst() {
    run(RATE, PER_RUNNING, UNCHANGED, 2_000);
    for (int i = 0; i < 30; i++) {
      recordQueued(i);
    }
    assertTrue(service.prefillTokensPerSecond(now) > RATE / 2);
    run(RATE, PER_RUNNING, UNCHANGED, 200);
    assertEquals(service.prefillTokensPerSecond(now), RATE, RATE * 0.1);
  }

  private void recordQueued(int i) {
    int tokens = TOKENS[2 * (i % 2)];
    runners.get(i % 10).record(tokens, 2, 0, 0.113 + tokens / RATE, now);
  }

  /** A runner that stalls for 0.5 s in one of three answers is as fast as the others otherwise. */
  @Test
  public void toleratesStalls() {
    DoubleUnaryOperator stalls = s -> random.nextInt(3) == 0 ? s + 0.5 : s;
    run(RATE, PER_RUNNING, stalls, 2_000);
    double sum = 0;
    for (int i = 0; i < 100; i++) {
      run(RATE, PER_RUNNING, stalls, 50);
      sum += runners.get(0).deviation(now);
    }
    assertEquals(sum / 100, 1, 0.1);
    assertOthersUsual(RATE);
  }

  /** A runner that is 1.3 times slower has a lower rate, and the others keep theirs. */
  @Test
  public void learnsThatRunnerIsSlower() {
    run(RATE, PER_RUNNING, slower(1.3), 2_000);
    assertEquals(runners.get(0).deviation(now), 1 / 1.3, 0.08);
    assertEquals(runners.get(0).secondsPerRunning(now), PER_RUNNING * 1.3, PER_RUNNING * 0.2);
    assertOthersUsual(RATE);
  }

  /** A runner that is five times slower for a while: the estimate is bounded, and recovers. */
  @Test
  public void boundsAndForgetsSlowRunner() {
    run(RATE, PER_RUNNING, slower(5), 2_000);
    RunnerCapacity slow = runners.get(0);
    assertTrue(slow.deviation(now) < 0.4, "deviation " + slow.deviation(now));
    assertTrue(slow.prefillTokensPerSecond(now) >= RATE * ServiceCapacity.MIN_RATE_FACTOR);
    assertOthersUsual(RATE);
    // Avoided by all, it gets no samples; the deviation halves in each half-life.
    double before = Math.log(slow.deviation(now));
    assertEquals(
        Math.log(slow.deviation(now.plus(RunnerCapacity.HALF_LIFE))), before / 2, -before * 0.01);
    run(RATE, PER_RUNNING, UNCHANGED, 1_000);
    assertEquals(slow.deviation(now), 1, 0.1);
  }

  /** A service that is slow as a whole, or seems so by a wrong clock, keeps a bounded rate. */
  @Test
  public void boundsTheRateOfTheService() {
    run(RATE / 100, PER_RUNNING, UNCHANGED, 2_000);
    double min = RATE * ServiceCapacity.MIN_RATE_FACTOR;
    for (RunnerCapacity runner : runners) {
      assertTrue(runner.prefillTokensPerSecond(now) >= min - 1);
    }
    Instant later = now.plus(ServiceCapacity.HALF_LIFE.multipliedBy(8));
    assertEquals(service.prefillTokensPerSecond(later), RATE, RATE * 0.02);
    createRunners();
    run(RATE * 100, PER_RUNNING, UNCHANGED, 2_000);
    double max = RATE * ServiceCapacity.MAX_RATE_FACTOR;
    for (RunnerCapacity runner : runners) {
      assertTrue(runner.prefillTokensPerSecond(now) <= max + 1);
    }
  }

  /** Guards against one absurd sample, on a fresh node and on one that has learned. */
  @Test
  public void oneAbsurdSampleHasLittleInfluence() {
    for (int round = 0; round < 2; round++) {
      for (double seconds :
          new double[] {1e-9, 3_600, Double.MAX_VALUE, Double.POSITIVE_INFINITY}) {
        createRunners();
        run(RATE, PER_RUNNING, UNCHANGED, round * 2_000);
        double before = service.prefillTokensPerSecond(now);
        double deviation = runners.get(0).deviation(now);
        runners.get(0).record(12_000, 1, 0, seconds, now);
        double after = service.prefillTokensPerSecond(now);
        assertEquals(after, before, before * 0.21, "service after " + seconds);
        assertEquals(
            runners.get(0).deviation(now), deviation, deviation * 0.065, "runner after " + seconds);
        assertEquals(runners.get(1).deviation(now), 1, 0.05, "other after " + seconds);
      }
    }
  }

  /** Guards against times that are no times: a wrong clock must not change anything. */
  @Test
  public void ignoresImpossibleTimes() {
    for (double seconds : new double[] {0, -1, Double.NaN, Double.NEGATIVE_INFINITY}) {
      runners.get(0).record(12_000, 1, 0, seconds, now);
      runners.get(0).record(177, 9, 0, seconds, now);
    }
    assertEquals(runners.get(0).prefillTokensPerSecond(now), RATE);
    assertEquals(runners.get(0).secondsPerRunning(now), PER_RUNNING);
  }

  /** A present time that was years ahead once must not keep what is learned from decaying. */
  @Test
  public void recoversFromClockThatWasAhead() {
    run(RATE, PER_RUNNING, slower(5), 2_000);
    Instant ahead = now.plus(Duration.ofDays(3_650));
    runners.get(0).record(12_000, 1, 0, 1, ahead);
    run(RATE, PER_RUNNING, slower(5), 2_000);
    Instant later = now.plus(RunnerCapacity.HALF_LIFE.multipliedBy(8));
    assertEquals(runners.get(0).deviation(later), 1, 0.02);
  }

  /** One runner of ten whose answers seem to take no time must not speed up the others. */
  @Test
  public void oneWrongRunnerHardlyMovesTheOthers() {
    run(RATE, PER_RUNNING, seconds -> 1e-6, 2_000);
    assertTrue(runners.get(0).deviation(now) <= RunnerCapacity.MAX_DEVIATION + 1e-9);
    for (RunnerCapacity runner : runners.subList(1, runners.size())) {
      assertEquals(runner.prefillTokensPerSecond(now), RATE, RATE * 0.25);
    }
  }

  /** Guards against samples that measure something else than the prefill of the request. */
  @Test
  public void usesOnlySamplesOfThePrefill() {
    RunnerCapacity runner = runners.get(0);
    runner.record(12_000, 1, 0.1, 1, now);
    runner.record(1_000, 1, 0, 1, now);
    runner.record(2_870, 9, 0, 1, now);
    runner.record(177, 9, 0.1, 1, now);
    assertEquals(runner.prefillTokensPerSecond(now), RATE);
    assertEquals(runner.secondsPerRunning(now), PER_RUNNING);
  }

  private static final RunnerInfo INFO =
      new RunnerInfo(
          "r1",
          "s",
          new Endpoint("10.0.0.1", 80),
          "z1",
          64,
          false,
          Map.of("m", 1L),
          Optional.empty(),
          1);

  private static RunnerSelector selector() {
    return selector(new PartDirectory());
  }

  private static RunnerSelector selector(PartDirectory directory) {
    return new RunnerSelector(
        directory,
        new PeerTable(),
        new AnnouncedWeights(),
        new WeightsDeadline(Duration.ofSeconds(6)),
        "z1");
  }

  private RunnerSelector.Selection select(RunnerSelector selector, Runner runner) {
    Prompt prompt = new Prompt("m", 12_000, 100, List.of());
    var request =
        new RunnerSelector.Request(prompt, version -> "m@" + version, "k", 327_680, 113_000, 1);
    return selector.selectForPrompt(request, List.of(runner), List.of(), now).orElseThrow();
  }

  /**
   * Guards against slowness and capacity that both express the same delay: while a runner turns out
   * to be five times slower, no estimate exceeds the measured time by more than a tenth.
   */
  @Test
  public void selectorCountsDelayOnce() {
    RunnerSelector selector = selector();
    Runner runner = new Runner(INFO, service, now);
    run(RATE, PER_RUNNING, UNCHANGED, 200);
    double seconds = 5 * (0.005 + 12_000 / RATE);
    double highest = 0;
    double last = 0;
    for (int i = 0; i < 100; i++) {
      RunnerSelector.Selection selection = select(selector, runner);
      last = selection.firstTokenSeconds();
      highest = Math.max(highest, last);
      selector.recordTimeToFirstToken(selection, seconds, now);
      run(RATE, PER_RUNNING, UNCHANGED, 20);
    }
    assertTrue(highest < seconds * 1.1, "estimate of " + highest + " s");
    assertEquals(last, seconds, seconds * 0.1);
    assertTrue(runner.capacity().deviation(now) < 0.4);
  }

  /** Guards against learning from requests that wait for memory or preempt others. */
  @Test
  public void selectorLeavesOutRequestsWithoutFreeMemory() {
    for (int rank : new int[] {1, 5}) {
      RunnerSelector selector = selector();
      Runner runner = new Runner(INFO, service, now);
      runner.requestSent(rank, 0, 113_000, now);
      runner.answerStarted(rank, 0, now);
      RunnerSelector.Selection selection = select(selector, runner);
      assertEquals(selection.memorySeconds() > 0, rank == 1);
      selector.recordTimeToFirstToken(selection, 1, now);
      assertEquals(runner.capacity().prefillTokensPerSecond(now), RATE);
    }
  }

  /** Guards against learning from requests that fetched, even if the fetch is short. */
  @Test
  public void selectorLeavesOutFetches() {
    PartDirectory directory = new PartDirectory();
    Endpoint store = new Endpoint("10.9.0.1", 80);
    directory.setTokens(store, "m@1", "a1", 512);
    RunnerSelector selector = selector(directory);
    Runner runner = new Runner(INFO, service, now);
    var parts = List.of(new Prompt.Part("a1", 512), new Prompt.Part("b2", 11_488));
    var prompt = new Prompt("m", 12_000, 100, parts);
    var request =
        new RunnerSelector.Request(prompt, version -> "m@" + version, "k", 327_680, 113_000, 1);
    var sources = List.of(new RunnerSelector.Source(store, "z1", 1.5e12 / 8, true));
    var selection = selector.selectForPrompt(request, List.of(runner), sources, now).orElseThrow();
    assertTrue(selection.fetchSeconds() > 0);
    selector.recordTimeToFirstToken(selection, 1, now);
    assertEquals(runner.capacity().prefillTokensPerSecond(now), RATE);
  }

  /** Guards against an estimate that uses the time of a running request of one deployment. */
  @Test
  public void selectorUsesLearnedTimeOfRunningRequests() {
    run(RATE, 0.007, UNCHANGED, 2_000);
    Runner runner = new Runner(INFO, service, now);
    double idle = select(selector(), runner).firstTokenSeconds();
    for (int i = 0; i < 5; i++) {
      runner.requestSent(1, 0, 100, now);
    }
    assertEquals(select(selector(), runner).firstTokenSeconds() - idle, 0.035, 0.0035);
  }

  /** A new service leaves the constants within 20 samples, without deviations of its runners. */
  @Test
  public void learnsNewServiceSoon() {
    for (int i = 0; i < RunnerCapacity.MIN_SERVICE_SAMPLES; i++) {
      runners.get(0).record(12_000, 0, 0, 12_000 / 61_800.0, now);
    }
    assertEquals(service.prefillTokensPerSecond(now), 61_800, 3_000);
    assertEquals(runners.get(0).deviation(now), 1.0);
  }

  /** A time shorter than the overhead is too short, and must not count as an endless one. */
  @Test
  public void timeWithinOverheadDoesNotLowerTheRate() {
    runners.get(0).record(12_000, 9, 0, 0.03, now);
    assertTrue(service.prefillTokensPerSecond(now) > RATE);
  }

  /** Runners of a service share what is learned about it, also those that start later. */
  @Test
  public void runnersOfServiceShareItsCapacity() {
    RunnerTable table = new RunnerTable();
    table.put(INFO, now);
    RunnerCapacity known = table.find("r1").orElseThrow().capacity();
    for (int i = 0; i < 100; i++) {
      known.record(12_000, 0, 0, 12_000 / 140_000.0, now);
    }
    table.put(
        new RunnerInfo(
            "r2",
            "s",
            new Endpoint("10.0.0.2", 80),
            "z1",
            64,
            false,
            Map.of("m", 1L),
            Optional.empty(),
            1),
        now);
    RunnerCapacity later = table.find("r2").orElseThrow().capacity();
    assertEquals(later.prefillTokensPerSecond(now), 140_000, 7_000);
    assertEquals(later.deviation(now), 1.0);
  }
}
