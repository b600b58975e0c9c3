package org.dragonflyhill.core.relay;

import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays patterns of requests that crash runners, and of sound ones beside them, to several nodes
 * that exchange reports, without network or clock.
 */
public final class CrashingRequestPatternTest {

  private static final int SEEDS = 50;
  private static final int NODES = 4;
  private static final int CRASHES_UNTIL_KNOWN = 3;
  private static final int RETRIES_ALLOWED = 3;
  private static final int STABILITY_WINDOW = 3_000;
  private static final int END = 30_000;
  private static final int MAX_ATTEMPTS = 2;
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final String BAD = CrashSuspects.requestKey("bad");

  /**
   * What happens in a play. Times are milliseconds from its start.
   *
   * @param runners number of runners
   * @param badPerSecond how often the bad request comes in a second
   * @param copies number of bad requests that come at once
   * @param soundPerSecond sound requests in a second
   * @param polls number of different sound requests that come again and again; others come once
   * @param isPrompt whether all requests share parts of a prompt
   * @param lossPercent share of the reports that are lost
   * @param killed number of runners that are killed together at 5 s
   * @param isNodeRestarted whether a node forgets all it knows at 12 s
   */
  private record Pattern(
      String name,
      int runners,
      double badPerSecond,
      int copies,
      int soundPerSecond,
      int polls,
      boolean isPrompt,
      int lossPercent,
      int killed,
      boolean isNodeRestarted) {
    @Override
    public String toString() {
      return name;
    }
  }

  /** All patterns. */
  @DataProvider
  public Object[][] patterns() {
    return new Object[][] {
      {new Pattern("service", 3, 1, 1, 30, 0, false, 0, 0, false)},
      {new Pattern("service, many repeats", 3, 4, 1, 30, 0, false, 0, 0, false)},
      {new Pattern("service, copies at once", 3, 0.5, 3, 30, 0, false, 0, 0, false)},
      {new Pattern("service, polls", 3, 1, 1, 30, 5, false, 0, 0, false)},
      {new Pattern("prompts", 8, 2, 1, 60, 0, true, 0, 0, false)},
      {new Pattern("cold prompts", 8, 1, 1, 2, 0, true, 0, 0, false)},
      {new Pattern("prompts, copies at once", 8, 1, 4, 60, 0, true, 0, 0, false)},
      {new Pattern("lost reports", 8, 2, 1, 60, 3, true, 30, 0, false)},
      {new Pattern("restarted node", 8, 2, 1, 60, 3, true, 10, 0, true)},
      {new Pattern("killed runners, polls", 8, 0, 1, 60, 3, true, 0, 6, false)},
      {new Pattern("all runners of a service killed, polls", 3, 0, 1, 30, 3, false, 0, 3, false)},
    };
  }

  /** The bound of the platform specification holds, and sound requests are answered. */
  @Test(dataProvider = "patterns")
  public void keepsBounds(Pattern pattern) {
    List<String> faults = new ArrayList<>();
    for (int seed = 0; seed < SEEDS; seed++) {
      Play play = new Play(pattern, seed);
      play.run();
      int refusedPercent = 100 * play.refusedLate / Math.max(1, play.soundLate);
      if (play.sentLate > RETRIES_ALLOWED || refusedPercent >= 50) {
        faults.add(
            "seed %d: %d crashes, %d sent late, %d %% refused"
                .formatted(seed, play.badCrashes.size(), play.sentLate, refusedPercent));
      }
    }
    assertTrue(
        faults.isEmpty(),
        faults.size() + " faults of " + SEEDS + ": " + faults.stream().limit(3).toList());
  }

  private static final class Runner {
    private int upAt;
    private int starts;
    private final List<Request> requests = new ArrayList<>();
  }

  private static final class Request {
    private final String key;
    private final int node;
    private int attempts;
    private int sentAt;

    Request(String key, int node) {
      this.key = key;
      this.node = node;
    }

    boolean isBad() {
      return key.equals(BAD);
    }
  }

  private static final class Play {
    private final Pattern pattern;
    private final Random random;
    private final CrashSuspects[] nodes = new CrashSuspects[NODES];
    private final List<Runner> runners = new ArrayList<>();
    private final TreeMap<Integer, List<Runnable>> events = new TreeMap<>();
    private final List<Integer> badCrashes = new ArrayList<>();
    private int now;
    private int sentLate;
    private int soundLate;
    private int refusedLate;

    Play(Pattern pattern, int seed) {
      this.pattern = pattern;
      random = new Random(seed);
      for (int i = 0; i < NODES; i++) {
        nodes[i] = new CrashSuspects();
      }
      for (int i = 0; i < pattern.runners; i++) {
        runners.add(new Runner());
      }
    }

    void run() {
      for (int i = 0; i < NODES; i++) {
        int node = i;
        in(between(0, 150), () -> report(node));
      }
      in(1, () -> arrive(true));
      in(1, () -> arrive(false));
      in(5_000, () -> runners.stream().limit(pattern.killed).forEach(this::crash));
      if (pattern.isNodeRestarted) {
        in(12_000, () -> nodes[0] = new CrashSuspects());
      }
      while (!events.isEmpty() && events.firstKey() < END) {
        now = events.firstKey();
        events.pollFirstEntry().getValue().forEach(Runnable::run);
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

    private void report(int sender) {
      CrashReport report = nodes[sender].report(time());
      for (int i = 0; i < NODES; i++) {
        int receiver = i;
        if (receiver != sender && random.nextInt(100) >= pattern.lossPercent) {
          in(between(1, 5), () -> nodes[receiver].merge(report, time()));
        }
      }
      in(150, () -> report(sender));
    }

    private void arrive(boolean isBad) {
      double perSecond = isBad ? pattern.badPerSecond : pattern.soundPerSecond;
      if (perSecond == 0) {
        return;
      }
      in(
          Math.max(1, (int) (-Math.log(1 - random.nextDouble()) * 1_000 / perSecond)),
          () -> arrive(isBad));
      for (int i = 0; i < (isBad ? pattern.copies : 1); i++) {
        long sound = pattern.polls > 0 ? random.nextInt(pattern.polls) : random.nextLong();
        String key = isBad ? BAD : CrashSuspects.requestKey("sound" + sound);
        dispatch(new Request(key, random.nextInt(NODES)));
      }
    }

    private List<String> parts() {
      return pattern.isPrompt ? List.of("m/common", "m/other") : List.of();
    }

    private boolean isRefused(Request request) {
      List<String> keys = new ArrayList<>(parts());
      keys.add(request.key);
      return nodes[request.node].blockedSuspect(keys, time()).isPresent();
    }

    private int sinceDisturbance() {
      int last = pattern.killed > 0 ? 5_000 : END;
      if (!badCrashes.isEmpty()) {
        last = badCrashes.get(Math.min(badCrashes.size(), CRASHES_UNTIL_KNOWN) - 1);
      }
      return now - last;
    }

    private void dispatch(Request request) {
      boolean isRefused = isRefused(request);
      if (!request.isBad() && request.attempts == 0 && sinceDisturbance() > 2 * STABILITY_WINDOW) {
        soundLate++;
        refusedLate += isRefused ? 1 : 0;
      }
      List<Runner> up = runners.stream().filter(runner -> runner.upAt <= now).toList();
      if (isRefused || up.isEmpty()) {
        return;
      }
      request.attempts++;
      request.sentAt = now;
      if (request.isBad()
          && badCrashes.size() >= CRASHES_UNTIL_KNOWN
          && now - badCrashes.get(CRASHES_UNTIL_KNOWN - 1) > STABILITY_WINDOW) {
        sentLate++;
      }
      Runner runner = up.get(random.nextInt(up.size()));
      runner.requests.add(request);
      int start = runner.starts;
      int time = request.isBad() ? between(55, 120) : between(20, 600);
      in(time, () -> end(request, runner, start));
    }

    private void end(Request request, Runner runner, int start) {
      if (runner.starts != start) {
        return;
      }
      if (request.isBad()) {
        badCrashes.add(now);
        crash(runner);
        return;
      }
      runner.requests.remove(request);
      List<String> keys = new ArrayList<>(parts());
      if (nodes[request.node].isSuspect(request.key)) {
        keys.add(request.key);
      }
      nodes[request.node].recordSoundAnswer(keys, time());
    }

    private void crash(Runner runner) {
      final String id = runners.indexOf(runner) + "@" + runner.starts;
      final Instant at = time();
      runner.starts++;
      runner.upAt = now + between(2_000, 4_000);
      List<Request> broken = List.copyOf(runner.requests);
      runner.requests.clear();
      Set<Integer> told = new HashSet<>();
      for (Request request : broken) {
        CrashSuspects node = nodes[request.node];
        boolean mayRetry = request.attempts < MAX_ATTEMPTS && !node.isSuspect(request.key);
        Instant sentAt = START.plusMillis(request.sentAt);
        boolean isFirst = told.add(request.node);
        in(
            between(1, 6),
            () -> {
              if (isFirst) {
                node.recordCrash(id, parts(), at);
              }
              node.recordRequestCrash(id, request.key, sentAt, at);
            });
        if (mayRetry) {
          in(1, () -> dispatch(request));
        } else if (random.nextBoolean()) {
          in(between(20, 500), () -> dispatch(new Request(request.key, random.nextInt(NODES))));
        }
      }
    }
  }
}
