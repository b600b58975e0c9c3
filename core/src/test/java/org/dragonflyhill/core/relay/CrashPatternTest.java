package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays patterns of crashes to several nodes that exchange reports, without network or clock. */
public final class CrashPatternTest {

  private static final int SEEDS = 50;
  private static final int NODES = 4;
  private static final int RUNNERS = 16;
  private static final int CRASHES_ALLOWED = 5;
  private static final int SENT_ALLOWED = 3;
  private static final int STABILITY_WINDOW = 3_000;
  private static final int END = 20_000;
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  /**
   * What happens in a play. Times are milliseconds from its start.
   *
   * @param bad number of bad parts
   * @param badFrom when they begin to be bad
   * @param badPerSecond requests with a bad part in a second
   * @param soundPerSecond sound requests in a second
   * @param coldParts number of parts that sound and bad prompts share beside the first one
   * @param width number of parts that each prompt shares with none
   * @param lossPercent share of the reports that are lost; as many are late
   * @param killed number of runners that are killed together at 5 s
   * @param isNodeRestarted whether a node forgets all it knows at 6 s
   * @param isNodeCut whether a node hears and tells nothing until 4 s
   */
  private record Pattern(
      String name,
      int bad,
      int badFrom,
      int badPerSecond,
      int soundPerSecond,
      int coldParts,
      int width,
      int lossPercent,
      int killed,
      boolean isNodeRestarted,
      boolean isNodeCut) {
    @Override
    public String toString() {
      return name;
    }
  }

  /** All patterns. */
  @DataProvider
  public Object[][] patterns() {
    return new Object[][] {
      {new Pattern("hot", 1, 0, 5, 100, 4, 1, 0, 0, false, false)},
      {new Pattern("cold first part", 1, 0, 10, 2, 1, 1, 0, 0, false, false)},
      {new Pattern("cold parts", 1, 0, 10, 20, 20, 1, 0, 0, false, false)},
      {new Pattern("losses", 1, 0, 5, 50, 4, 1, 30, 0, false, false)},
      {new Pattern("turns bad", 1, 3_000, 10, 50, 4, 1, 20, 0, false, false)},
      {new Pattern("restarted node", 1, 0, 5, 50, 4, 1, 10, 0, true, false)},
      {new Pattern("cut node", 1, 0, 5, 50, 4, 1, 0, 0, false, true)},
      {new Pattern("killed runners", 0, END, 0, 100, 2, 1, 0, 8, false, false)},
      {new Pattern("few requests, killed runners", 0, END, 0, 20, 2, 1, 0, 8, false, false)},
      {new Pattern("killed runners and bad part", 1, 0, 5, 100, 2, 1, 10, 8, false, false)},
      {new Pattern("wide prompts", 1, 0, 4, 60, 4, 30, 0, 0, false, false)},
    };
  }

  /** The bounds of the platform specification hold in each pattern. */
  @Test(dataProvider = "patterns")
  public void keepsBounds(Pattern pattern) {
    int mostCrashes = 0;
    int mostSentLate = 0;
    int mostRefused = 0;
    int lastSent = 0;
    List<String> faults = new ArrayList<>();
    for (int seed = 0; seed < SEEDS; seed++) {
      Play play = new Play(pattern, seed);
      play.run();
      final int window = STABILITY_WINDOW;
      final int crashesAllowed = CRASHES_ALLOWED + pattern.badPerSecond * 2 * window / 1_000;
      int refused = play.soundLate == 0 ? 0 : 100 * play.refusedLate / play.soundLate;
      mostCrashes = Math.max(mostCrashes, play.badCrashes.size());
      mostSentLate = Math.max(mostSentLate, play.sentLate);
      mostRefused = Math.max(mostRefused, refused);
      lastSent = Math.max(lastSent, play.lastSentAfterFifth);
      if (play.sentLate > SENT_ALLOWED
          || refused >= 50
          || play.badCrashes.size() > crashesAllowed * Math.max(1, pattern.bad)) {
        faults.add(
            "seed "
                + seed
                + ": "
                + play.badCrashes.size()
                + " crashes, "
                + play.sentLate
                + " sent late, "
                + refused
                + " % refused");
      }
    }
    String figures =
        pattern
            + ": at most "
            + mostCrashes
            + " crashes, "
            + mostSentLate
            + " sent late, "
            + mostRefused
            + " % of sound ones refused, last sent "
            + lastSent
            + " ms after the fifth crash; "
            + faults.size()
            + " faults of "
            + SEEDS
            + ", first "
            + faults.stream().limit(2).toList();
    assertTrue(faults.isEmpty(), figures);
  }

  /** The same bounds with two bad parts, counted together. */
  @Test
  public void keepsBoundsWithTwoBadParts() {
    keepsBounds(new Pattern("two bad parts", 2, 0, 10, 50, 4, 1, 10, 0, false, false));
  }

  private static final class Runner {
    private int upAt;
    private int starts;
    private final List<Request> answers = new ArrayList<>();
  }

  private static final class Request {
    private final List<String> parts;
    private final boolean isBad;
    private final int node;
    private int attempts;
    private int begunAt;
    private boolean isEnded;

    Request(List<String> parts, boolean isBad, int node) {
      this.parts = parts;
      this.isBad = isBad;
      this.node = node;
    }
  }

  private static final class Play {
    private final Pattern pattern;
    private final Random random;
    private final CrashSuspects[] nodes = new CrashSuspects[NODES];
    private final int[][] newestReports = new int[NODES][NODES];
    private final List<Runner> runners = new ArrayList<>();
    private final TreeMap<Integer, List<Runnable>> events = new TreeMap<>();
    private final List<Integer> badCrashes = new ArrayList<>();
    private int now;
    private int sentLate;
    private int soundLate;
    private int refusedLate;
    private int lastSentAfterFifth;

    Play(Pattern pattern, int seed) {
      this.pattern = pattern;
      random = new Random(seed);
      for (int i = 0; i < NODES; i++) {
        nodes[i] = new CrashSuspects();
      }
      for (int i = 0; i < RUNNERS; i++) {
        runners.add(new Runner());
      }
    }

    private Instant time() {
      return START.plusMillis(now);
    }

    private int between(int from, int to) {
      return from + random.nextInt(to - from);
    }

    private void in(int millis, Runnable event) {
      events.computeIfAbsent(now + millis, any -> new ArrayList<>()).add(event);
    }

    void run() {
      for (int i = 0; i < NODES; i++) {
        int node = i;
        in(between(0, 150), () -> report(node));
      }
      in(1, () -> arrive(false));
      in(1, () -> arrive(true));
      in(5_000, () -> runners.stream().limit(pattern.killed).forEach(this::crash));
      if (pattern.isNodeRestarted) {
        in(6_000, () -> nodes[0] = new CrashSuspects());
      }
      while (!events.isEmpty() && events.firstKey() < END) {
        now = events.firstKey();
        events.pollFirstEntry().getValue().forEach(Runnable::run);
      }
    }

    private boolean isCut(int node) {
      return pattern.isNodeCut && node == 0 && now < 4_000;
    }

    private void report(int sender) {
      CrashReport report = nodes[sender].report(time());
      final int sentAt = now;
      for (int i = 0; i < NODES; i++) {
        int receiver = i;
        boolean isLost = random.nextInt(100) < pattern.lossPercent;
        boolean isLate = random.nextInt(100) < pattern.lossPercent;
        int delay = isLate ? between(100, 1_000) : between(1, 5);
        if (receiver != sender && !isLost && !isCut(sender) && !isCut(receiver)) {
          in(delay, () -> receive(receiver, sender, report, sentAt));
        }
      }
      in(150, () -> report(sender));
    }

    /** Merges a report unless a newer one of its sender has arrived before it. */
    private void receive(int receiver, int sender, CrashReport report, int sentAt) {
      if (sentAt > newestReports[receiver][sender]) {
        newestReports[receiver][sender] = sentAt;
        nodes[receiver].merge(report, time());
      }
    }

    private void arrive(boolean isBad) {
      int perSecond = isBad ? pattern.badPerSecond : pattern.soundPerSecond;
      if (perSecond == 0) {
        return;
      }
      in(
          Math.max(1, (int) (-Math.log(1 - random.nextDouble()) * 1_000 / perSecond)),
          () -> arrive(isBad));
      List<String> parts = new ArrayList<>(List.of("first"));
      parts.add("shared" + random.nextInt(pattern.coldParts));
      if (isBad) {
        parts.add("bad" + random.nextInt(pattern.bad));
      }
      for (int i = 0; i < pattern.width; i++) {
        parts.add("own" + random.nextLong());
      }
      dispatchNew(parts, isBad);
    }

    private void dispatchNew(List<String> parts, boolean isBad) {
      dispatch(new Request(parts, isBad, random.nextInt(NODES)));
    }

    private int sinceFifth() {
      return badCrashes.size() < CRASHES_ALLOWED ? -1 : now - badCrashes.get(CRASHES_ALLOWED - 1);
    }

    /** Time since the disturbance after which sound requests are counted, negative before. */
    private int sinceDisturbance() {
      int last = pattern.killed > 0 ? 5_000 : Integer.MIN_VALUE;
      if (!badCrashes.isEmpty()) {
        last = Math.max(last, badCrashes.get(Math.min(badCrashes.size(), CRASHES_ALLOWED) - 1));
      }
      return last < 0 ? -1 : now - last;
    }

    private boolean isRefused(Request request) {
      return nodes[request.node].blockedSuspect(request.parts, time()).isPresent();
    }

    private void dispatch(Request request) {
      boolean isRefused = isRefused(request);
      if (!request.isBad && request.attempts == 0 && sinceDisturbance() > 2 * STABILITY_WINDOW) {
        soundLate++;
        refusedLate += isRefused ? 1 : 0;
      }
      List<Runner> up = runners.stream().filter(runner -> runner.upAt <= now).toList();
      if (isRefused || up.isEmpty()) {
        return;
      }
      request.attempts++;
      if (request.isBad && sinceFifth() >= 0) {
        lastSentAfterFifth = sinceFifth();
        sentLate += sinceFifth() > STABILITY_WINDOW && !isCut(request.node) ? 1 : 0;
      }
      Runner runner = up.get(random.nextInt(up.size()));
      int start = runner.starts;
      in(between(20, 200), () -> begin(request, runner, start));
    }

    private void begin(Request request, Runner runner, int start) {
      if (runner.starts != start) {
        if (request.attempts < 2) {
          dispatch(request);
        }
        return;
      }
      if (isRefused(request)) {
        return;
      }
      request.begunAt = now;
      runner.answers.add(request);
      if (request.isBad && now >= pattern.badFrom) {
        in(
            between(55, 104),
            () -> {
              if (runner.starts == start) {
                badCrashes.add(now);
                crash(runner);
              }
            });
        return;
      }
      int duration = between(100, 3_000);
      Consumer<Boolean> sound =
          isEnd -> {
            if (!request.isEnded) {
              nodes[request.node].recordSoundAnswer(
                  request.parts, START.plusMillis(request.begunAt));
              request.isEnded = isEnd;
              if (isEnd) {
                runner.answers.remove(request);
              }
            }
          };
      in(Math.min(duration, 1_000), () -> sound.accept(duration <= 1_000));
      if (duration > 1_000) {
        in(duration, () -> sound.accept(true));
      }
    }

    private void crash(Runner runner) {
      final String id = runners.indexOf(runner) + "@" + runner.starts;
      runner.starts++;
      runner.upAt = now + between(2_000, 4_000);
      List<Request> answers = List.copyOf(runner.answers);
      runner.answers.clear();
      for (int i = 0; i < NODES; i++) {
        int node = i;
        Set<String> young = new HashSet<>();
        for (Request answer : answers) {
          if (answer.node == node && now - answer.begunAt <= 500) {
            young.addAll(answer.parts);
          }
        }
        if (!young.isEmpty()) {
          in(between(1, 6), () -> nodes[node].recordCrash(id, young, time()));
        }
      }
      for (Request answer : answers) {
        answer.isEnded = true;
        // Some callers repeat what broke off.
        if (random.nextBoolean()) {
          in(between(100, 500), () -> dispatchNew(answer.parts, answer.isBad));
        }
      }
    }
  }
}
