package org.dragonflyhill.daemon.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.dragonflyhill.core.relay.CrashSuspects;
import org.dragonflyhill.core.relay.Runner;

/**
 * Finds out whether a runner has crashed after one of its answers broke off: a new connection to a
 * crashed runner fails, while a runner that only failed an answer accepts it.
 */
final class RunnerCrashDetector {

  /** Time after which a connection to a process that was just ending is closed. */
  private static final Duration SETTLING_TIME = Duration.ofMillis(100);

  private final EventLoop loop;
  private final RelayState state;
  private final RunnerConnectionPool connections;

  private final Map<String, Check> checksByRunner = new HashMap<>();

  RunnerCrashDetector(EventLoop loop, RelayState state, RunnerConnectionPool connections) {
    this.loop = loop;
    this.state = state;
    this.connections = connections;
  }

  /**
   * Checks a runner after an answer broke off that had just begun, or had not begun yet.
   *
   * @param runner the runner
   * @param suspect the request that was to be answered
   */
  void onAnswerBrokenOff(Runner runner, Suspect suspect) {
    Check check = checksByRunner.get(runner.id());
    if (check != null) {
      check.suspects().add(suspect);
      return;
    }
    checksByRunner.put(runner.id(), new Check(state.now(), new ArrayList<>(List.of(suspect))));
    connections.open(
        runner.info().endpoint(),
        connection ->
            loop.schedule(
                () -> onSettled(runner, connection),
                SETTLING_TIME.toMillis(),
                TimeUnit.MILLISECONDS),
        error -> onCrashed(runner));
  }

  /**
   * Ends the check if the runner kept the connection. Otherwise the runner may have had too many
   * connections or may have ended just after it accepted this one, which another one tells.
   */
  private void onSettled(Runner runner, RunnerConnection connection) {
    if (connection.channel().isActive()) {
      onAlive(runner, connection);
    } else {
      connections.open(
          runner.info().endpoint(),
          another -> onAlive(runner, another),
          error -> onCrashed(runner));
    }
  }

  private void onAlive(Runner runner, RunnerConnection connection) {
    checksByRunner.remove(runner.id());
    connections.release(connection);
  }

  private void onCrashed(Runner runner) {
    Check check = checksByRunner.remove(runner.id());
    runner.recordUnreached(state.now());
    List<Suspect> suspects = check.suspects();
    Set<String> parts = new TreeSet<>();
    suspects.forEach(suspect -> parts.addAll(suspect.parts()));
    String crash = runner.id() + '@' + runner.info().startedAtMillis();
    state.crashSuspects().recordCrash(crash, parts, check.brokenOffAt());
    for (Suspect suspect : suspects) {
      String request = CrashSuspects.requestKey(suspect.fingerprint());
      state
          .crashSuspects()
          .recordRequestCrash(crash, request, suspect.sentAt(), check.brokenOffAt());
    }
    state.metrics().count("relay.runner_crashed");
    state
        .log()
        .info(
            "runner_crashed",
            event ->
                event
                    .with("runner", runner.id())
                    .with("suspect_parts", parts)
                    .with("suspect_requests", suspects.stream().map(Suspect::label).toList()));
  }

  /**
   * A check of a runner that is in progress.
   *
   * @param brokenOffAt when its first answer broke off
   * @param suspects requests whose answers broke off
   */
  private record Check(Instant brokenOffAt, List<Suspect> suspects) {}

  /**
   * A request whose answer broke off.
   *
   * @param id id of the request
   * @param fingerprint what it has in common with requests that are alike
   * @param parts keys of the shared parts of its prompt
   * @param sentAt when it was sent to the runner
   */
  record Suspect(String id, String fingerprint, List<String> parts, Instant sentAt) {

    private String label() {
      return id + '=' + fingerprint;
    }
  }
}
