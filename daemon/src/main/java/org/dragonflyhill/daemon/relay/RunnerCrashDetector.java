package org.dragonflyhill.daemon.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.dragonflyhill.core.relay.Runner;

/**
 * Finds out whether a runner has crashed after one of its answers broke off: a new connection to a
 * crashed runner fails, while a runner that only failed an answer accepts it.
 */
final class RunnerCrashDetector {

  private final RelayState state;
  private final RunnerConnectionPool connections;

  /** Prompt parts of the answers that broke off, by the runner that is being checked. */
  private final Map<String, Set<String>> partsByRunner = new HashMap<>();

  RunnerCrashDetector(RelayState state, RunnerConnectionPool connections) {
    this.state = state;
    this.connections = connections;
  }

  /**
   * Checks a runner after an answer broke off that had just begun.
   *
   * @param runner the runner
   * @param parts keys of the shared parts of the answer's prompt
   */
  void onAnswerBrokenOff(Runner runner, List<String> parts) {
    Set<String> known = partsByRunner.get(runner.id());
    if (known != null) {
      known.addAll(parts);
      return;
    }
    partsByRunner.put(runner.id(), new TreeSet<>(parts));
    connections.open(
        runner.info().endpoint(),
        connection -> {
          partsByRunner.remove(runner.id());
          connections.release(connection);
        },
        error -> onCrashed(runner, partsByRunner.remove(runner.id())));
  }

  private void onCrashed(Runner runner, Set<String> parts) {
    String crash = runner.id() + '@' + runner.info().startedAtMillis();
    state.crashSuspects().recordCrash(crash, parts, state.now());
    state.metrics().count("relay.runner_crashed");
    state
        .log()
        .info(
            "runner_crashed",
            event -> event.with("runner", runner.id()).with("suspect_parts", parts));
  }
}
