package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.testng.annotations.Test;

/** How evenly nodes load the runners while they hear of each other's requests late. */
public final class OldLoadsPatternTest {

  private static final Instant START = Instant.ofEpochSecond(1_000);
  private static final int NODES = 48;
  private static final int RUNNERS = 63;
  private static final int REQUESTS_PER_TICK = 8;
  private static final int TICK_MILLIS = 10;
  private static final int REQUEST_MILLIS = 300;

  private static List<Runner> runners() {
    Random random = new Random(7);
    List<Runner> runners = new ArrayList<>();
    for (int i = 0; i < RUNNERS; i++) {
      RunnerInfo info =
          new RunnerInfo(
              "i-" + Long.toHexString(random.nextLong()),
              "s",
              new Endpoint("10.0.0." + i, 80),
              "z1",
              16,
              false,
              Map.of("m", 1L),
              Optional.empty(),
              1);
      runners.add(new Runner(info, START));
    }
    return runners;
  }

  private static RunnerSelector selector(PeerTable peers) {
    return new RunnerSelector(
        new PartDirectory(),
        peers,
        new AnnouncedWeights(),
        new WeightsDeadline(Duration.ofSeconds(6)),
        "z1");
  }

  /**
   * Guards against a tie break that prefers some runners: with a sum of hash codes, one of 63 equal
   * runners got 4.7 times its share.
   */
  @Test
  public void equalRunnersGetEqualSharesOfKeys() {
    List<Runner> runners = runners();
    RunnerSelector selector = selector(new PeerTable());
    Map<String, Integer> counts = new HashMap<>();
    int perRunner = 100;
    for (int i = 0; i < RUNNERS * perRunner; i++) {
      String key = "key" + i;
      String chosen = selector.selectForPlainRequest(runners, key, START).orElseThrow().id();
      counts.merge(chosen, 1, Integer::sum);
    }
    for (Runner runner : runners) {
      int count = counts.getOrDefault(runner.id(), 0);
      assertTrue(Math.abs(count - perRunner) <= perRunner / 2, runner.id() + " got " + count);
    }
  }

  /**
   * 48 nodes that hear each peer every 450 ms, under 800 requests a second of 300 ms. If all of
   * them sent to the runner that seems least loaded, the busiest one would have about three times
   * the mean; placed at random it has 2.4 times the mean.
   */
  @Test
  public void busiestRunnerIsNoBusierThanAtRandom() {
    double ratio = (busiest(1) + busiest(2)) / 2;
    assertTrue(ratio <= 2.6, "busiest runner at " + ratio + " times the mean");
  }

  /** Returns the load of the busiest runner as a multiple of the mean, averaged over time. */
  private static double busiest(long seed) {
    final Random random = new Random(seed);
    final List<List<Runner>> runnersOf = new ArrayList<>();
    final List<PeerTable> tables = new ArrayList<>();
    for (int node = 0; node < NODES; node++) {
      runnersOf.add(runners());
      tables.add(new PeerTable());
    }
    final List<RunnerSelector> selectors =
        tables.stream().map(OldLoadsPatternTest::selector).toList();
    final int[] running = new int[RUNNERS];
    final PriorityQueue<int[]> ends = new PriorityQueue<>((a, b) -> a[0] - b[0]);
    double ratios = 0;
    int samples = 0;
    for (int millis = 0; millis < 4_000; millis += TICK_MILLIS) {
      Instant now = START.plusMillis(millis);
      while (!ends.isEmpty() && ends.peek()[0] <= millis) {
        int[] end = ends.poll();
        running[end[2]]--;
        runnersOf.get(end[1]).get(end[2]).requestEnded(true, 1, 0, 0);
      }
      for (int i = 0; i < REQUESTS_PER_TICK; i++) {
        int node = random.nextInt(NODES);
        List<Runner> runners = runnersOf.get(node);
        Runner chosen =
            selectors
                .get(node)
                .selectForPlainRequest(runners, "q" + random.nextLong(), now)
                .orElseThrow();
        chosen.requestSent(1, 0, 0, now);
        chosen.answerStarted(1, 0, now);
        int index = runners.indexOf(chosen);
        running[index]++;
        ends.add(new int[] {millis + REQUEST_MILLIS, node, index});
      }
      long tick = PeerSchedule.REPORTS.tick().toMillis();
      if (millis % tick == 0) {
        report(millis / tick, runnersOf, tables, now);
      }
      if (millis >= 1_000) {
        ratios +=
            Arrays.stream(running).max().orElseThrow()
                / Arrays.stream(running).average().orElseThrow();
        samples++;
      }
    }
    return ratios / samples;
  }

  private static void report(
      long tick, List<List<Runner>> runnersOf, List<PeerTable> tables, Instant now) {
    int groups = PeerSchedule.REPORTS.groups(NODES - 1);
    for (int node = 0; node < NODES; node++) {
      Map<String, PeerReport.Load> loads = new HashMap<>();
      for (Runner runner : runnersOf.get(node)) {
        if (runner.running() > 0) {
          loads.put(runner.id(), new PeerReport.Load(runner.running(), List.of(), List.of()));
        }
      }
      PeerReport report = PeerReports.withLoads("n" + node, tick + 1, loads);
      for (int peer = 0; peer < NODES; peer++) {
        if (peer != node && (peer + tick) % groups == 0) {
          tables.get(peer).update(report, now);
        }
      }
    }
  }
}
