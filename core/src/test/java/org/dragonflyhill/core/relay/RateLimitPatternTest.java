package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.TreeMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays patterns of requests to a runner with a rate limit, from several nodes that exchange
 * reports, without network or clock.
 */
public final class RateLimitPatternTest {

  private static final int SEEDS = 20;
  private static final int STEP = 10;
  private static final int END = 40_000;
  private static final int LIMITED_FROM = 2_000;
  private static final int STABILITY_WINDOW = 3_000;
  private static final int WINDOW = 4_000;

  /** Time after which a node that was told the limit must keep to it. */
  private static final int NOTICE = 500;

  private static final int MAX_ANSWER_TIME = 300;
  private static final String RUNNER = "i-1";
  private static final String SERVICE = "s";
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  /**
   * What happens in a play. Times are milliseconds from its start.
   *
   * @param nodes number of nodes
   * @param busyShare share of the requests that the first node receives
   * @param perSecond requests per second of all nodes
   * @param limits limits that the runner names one after the other, each for a second
   * @param limitedUntil when the runner stops to name a limit
   * @param lossPercent share of the reports that are lost
   * @param pausedUntil time from which requests come, after one at each node
   * @param restartedAt when the last node forgets all it knows, 0 for never
   * @param cutUntil until when the last node hears and tells nothing
   */
  private record Pattern(
      String name,
      int nodes,
      double busyShare,
      int perSecond,
      List<Double> limits,
      int limitedUntil,
      int lossPercent,
      int pausedUntil,
      int restartedAt,
      int cutUntil) {

    double limitAt(int time) {
      return limits.get(time / 1_000 % limits.size());
    }

    double maxLimit() {
      return limits.stream().mapToDouble(each -> each).max().orElseThrow();
    }

    @Override
    public String toString() {
      return name;
    }
  }

  private static Pattern pattern(String name, int nodes, double busyShare, double... limits) {
    List<Double> named = new ArrayList<>();
    for (double limit : limits) {
      named.add(limit);
    }
    return new Pattern(name, nodes, busyShare, 60, named, END, 0, 0, 0, 0);
  }

  /** All patterns. */
  @DataProvider
  public Object[][] patterns() {
    List<Double> four = List.of(4.0);
    return new Object[][] {
      {pattern("even traffic", 4, 0.25, 3.7)},
      {pattern("uneven traffic", 4, 0.9, 3.7)},
      {pattern("many nodes", 61, 0.02, 3.7)},
      {pattern("many nodes, uneven traffic", 61, 0.9, 3.7)},
      {pattern("single node", 1, 1, 4)},
      {pattern("less than one a second", 4, 0.25, 0.5)},
      {pattern("none at all", 4, 0.25, 0)},
      {pattern("changing limit", 4, 0.25, 8, 3, 5.5, 1)},
      {new Pattern("lost reports", 4, 0.4, 60, four, END, 30, 0, 0, 0)},
      {new Pattern("many nodes, lost reports", 61, 0.1, 60, four, END, 30, 0, 0, 0)},
      {new Pattern("after a pause", 4, 0.25, 60, four, END, 0, 20_000, 0, 0)},
      {new Pattern("many nodes after a pause", 61, 0.02, 120, four, END, 0, 20_000, 0, 0)},
      {new Pattern("ending limit", 4, 0.25, 60, four, 20_000, 0, 0, 0, 0)},
      {new Pattern("restarted node", 4, 0.25, 60, four, END, 0, 0, 15_000, 0)},
      {new Pattern("cut node", 4, 0.25, 60, four, END, 0, 0, 0, 20_000)},
    };
  }

  /** No window of 4 s exceeds the bound of the platform specification. */
  @Test(dataProvider = "patterns")
  public void keepsLimit(Pattern pattern) {
    for (int seed = 0; seed < SEEDS; seed++) {
      Play play = new Play(pattern, seed);
      play.run();
      double allowed = 1.5 * pattern.maxLimit() * WINDOW / 1_000 + 5;
      int most = play.mostInWindow(LIMITED_FROM + STABILITY_WINDOW, pattern.limitedUntil());
      assertTrue(most <= allowed, most + " in 4 s, allowed " + allowed + ", seed " + seed);
    }
  }

  /** While all nodes hear each other, the runner gets the rate it names and no more. */
  @Test
  public void usesTheWholeLimit() {
    for (int nodes : new int[] {1, 4, 61}) {
      for (double busyShare : new double[] {1.0 / nodes, 0.9}) {
        // A node that receives less than its share cannot use it.
        int perSecond = 10 * nodes;
        Pattern pattern =
            new Pattern("", nodes, busyShare, perSecond, List.of(3.7), END, 0, 0, 0, 0);
        Play play = new Play(pattern, 1);
        play.run();
        int from = 12_000;
        double rate = play.sentBetween(from, END) * 1_000.0 / (END - from);
        String detail = nodes + " nodes, busy share " + busyShare + ": " + rate + " a second";
        assertTrue(rate <= 3.7 + 3.0 * 1_000 / (END - from), detail);
        assertTrue(rate >= 3.7 * 0.6, detail);
      }
    }
  }

  /** After the limit has ended, all nodes send again as they like, within a second or so. */
  @Test
  public void sendsFreelyAfterTheLimitHasEnded() {
    Pattern pattern = new Pattern("", 4, 0.25, 60, List.of(4.0), 20_000, 0, 0, 0, 0);
    Play play = new Play(pattern, 1);
    play.run();
    assertTrue(play.sentBetween(22_000, 32_000) > 500, play.sentBetween(22_000, 32_000) + " sent");
  }

  /** A limit of 0 holds until the runner says otherwise, and it is asked now and then. */
  @Test
  public void endOfZeroLimitIsNoticed() {
    Pattern pattern = new Pattern("", 4, 0.25, 60, List.of(0.0), 20_000, 0, 0, 0, 0);
    Play play = new Play(pattern, 1);
    play.run();
    assertTrue(play.sentBetween(10_000, 20_000) <= 3, play.sentBetween(10_000, 20_000) + " sent");
    assertTrue(play.sentBetween(30_000, END) > 500, play.sentBetween(30_000, END) + " sent");
  }

  private static Instant at(int time) {
    return START.plusMillis(time);
  }

  private static final class Node {
    private final String name;
    private final PeerTable peers = new PeerTable();
    private RunnerRateLimit limit = new RunnerRateLimit();
    private long sequence;
    private int toldAt = END;

    Node(int number) {
      name = "node-" + number;
    }
  }

  /** One play of a pattern. */
  private static final class Play {
    private final Pattern pattern;
    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final TreeMap<Integer, List<Runnable>> events = new TreeMap<>();
    private final List<Integer> sent = new ArrayList<>();
    private final List<Integer> counted = new ArrayList<>();

    Play(Pattern pattern, int seed) {
      this.pattern = pattern;
      random = new Random(seed);
      for (int i = 0; i < pattern.nodes(); i++) {
        nodes.add(new Node(i));
      }
    }

    void run() {
      int tick = (int) PeerSchedule.REPORTS.period(nodes.size()).toMillis();
      for (Node node : nodes) {
        int phase = random.nextInt(tick);
        for (int time = phase; time < END; time += tick) {
          int now = time;
          on(time, () -> report(node, now));
        }
        for (int time = phase; time < END; time += 150) {
          int now = time;
          on(time, () -> updateShare(node, now));
        }
      }
      on(LIMITED_FROM, () -> nodes.forEach(node -> arrive(node, LIMITED_FROM)));
      int interval = 1_000 / pattern.perSecond();
      for (int time = pattern.pausedUntil(); time < END; time += interval) {
        int now = time;
        on(time, () -> arrive(chooseNode(), now));
      }
      if (pattern.restartedAt() > 0) {
        on(pattern.restartedAt(), () -> nodes.getLast().limit = new RunnerRateLimit());
      }
      while (!events.isEmpty()) {
        events.pollFirstEntry().getValue().forEach(Runnable::run);
      }
    }

    private void on(int time, Runnable event) {
      events.computeIfAbsent(time, any -> new ArrayList<>()).add(event);
    }

    private Node chooseNode() {
      return random.nextDouble() < pattern.busyShare()
          ? nodes.getFirst()
          : nodes.get(random.nextInt(nodes.size()));
    }

    private double requestRate(int number) {
      double even = (1 - pattern.busyShare()) / nodes.size();
      return pattern.perSecond() * (number == 0 ? even + pattern.busyShare() : even);
    }

    private boolean isCut(Node node, int time) {
      return node == nodes.getLast() && time < pattern.cutUntil();
    }

    private boolean isExcused(Node node, int time) {
      return node == nodes.getLast()
          && (time < pattern.cutUntil() + STABILITY_WINDOW && pattern.cutUntil() > 0
              || pattern.restartedAt() > 0 && time >= pattern.restartedAt());
    }

    private void report(Node node, int time) {
      Map<String, RateLimitReport> limits = new HashMap<>();
      node.limit.report(1, at(time)).ifPresent(limit -> limits.put(RUNNER, limit));
      node.sequence++;
      PeerReport report =
          PeerReports.withRates(
              node.name, node.sequence, Map.of(SERVICE, requestRate(nodes.indexOf(node))), limits);
      for (Node other : nodes) {
        boolean isLost =
            random.nextInt(100) < pattern.lossPercent() || isCut(node, time) || isCut(other, time);
        if (other != node && !isLost) {
          int arrival = time + 1 + random.nextInt(20);
          on(arrival, () -> receive(other, report, arrival));
        }
      }
    }

    private void receive(Node node, PeerReport report, int time) {
      if (node.peers.update(report, at(time)) && report.rateLimits().containsKey(RUNNER)) {
        RateLimitReport limit = report.rateLimits().get(RUNNER);
        if (node.limit.observeReported(limit.perSecond(), at(time).minus(limit.age()))) {
          updateShare(node, time);
        }
      }
    }

    private void updateShare(Node node, int time) {
      if (node.limit.perSecond().isPresent()) {
        Map<String, Double> rates = node.peers.requestRates(SERVICE, at(time));
        rates.put(node.name, requestRate(nodes.indexOf(node)));
        double perSecond = node.limit.perSecond().getAsDouble();
        node.limit.setShare(RateLimitShares.share(RUNNER, perSecond, node.name, rates), at(time));
      }
    }

    private void arrive(Node node, int time) {
      if (!node.limit.isPermitted(at(time))) {
        return;
      }
      node.limit.recordRequest(at(time));
      sent.add(time);
      if (!isExcused(node, time) && time >= node.toldAt + NOTICE) {
        counted.add(time);
      }
      boolean isLimited = time >= LIMITED_FROM && time < pattern.limitedUntil();
      OptionalDouble named =
          isLimited ? OptionalDouble.of(pattern.limitAt(time)) : OptionalDouble.empty();
      int answeredAt = time + STEP + random.nextInt(MAX_ANSWER_TIME);
      on(answeredAt, () -> answer(node, named, time, answeredAt));
    }

    private void answer(Node node, OptionalDouble named, int sentAt, int time) {
      if (named.isPresent()) {
        node.toldAt = Math.min(node.toldAt, time);
      }
      if (node.limit.observe(named, at(sentAt), at(time))) {
        updateShare(node, time);
      }
    }

    int sentBetween(int from, int to) {
      return (int) sent.stream().filter(time -> time >= from && time < to).count();
    }

    int mostInWindow(int from, int to) {
      int most = 0;
      for (int start : counted) {
        int end = Math.min(start + WINDOW, to);
        int count = (int) counted.stream().filter(time -> time >= start && time < end).count();
        most = start >= from ? Math.max(most, count) : most;
      }
      return most;
    }
  }
}
