package org.dragonflyhill.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dragonflyhill.core.ConfigurationObject.Organisation;
import org.dragonflyhill.core.ConfigurationObject.Rule;
import org.dragonflyhill.core.ConfigurationObject.Runner;

/**
 * Answers the questions that each request asks of a configuration, without a walk over all objects.
 *
 * <pre>{@code
 * ConfigurationView view = ConfigurationView.of(state);
 * Optional<Organisation> organisation = view.organisationByKeyHash(hash);
 * }</pre>
 *
 * <p>Immutable and thread-safe; no argument may be null. Made once for each state.
 */
public final class ConfigurationView {

  private final ConfigurationState state;
  private final Map<String, Organisation> organisationsByKeyHash = new HashMap<>();
  private final Map<String, Rule> rulesByTask = new HashMap<>();
  private final Map<String, List<Runner>> runnersByModel = new HashMap<>();

  private ConfigurationView(ConfigurationState state) {
    this.state = state;
    for (Organisation organisation : state.all(Organisation.class)) {
      organisation
          .keyHashes()
          .forEach(hash -> organisationsByKeyHash.putIfAbsent(hash, organisation));
    }
    for (Rule rule : state.all(Rule.class)) {
      rulesByTask.putIfAbsent(rule.task(), rule);
    }
    for (Runner runner : state.all(Runner.class)) {
      runnersByModel.computeIfAbsent(runner.model(), model -> new ArrayList<>()).add(runner);
    }
    runnersByModel.replaceAll((model, runners) -> List.copyOf(runners));
  }

  /** Returns the view of a state. */
  public static ConfigurationView of(ConfigurationState state) {
    return new ConfigurationView(state);
  }

  /** Returns the state that this is a view of. */
  public ConfigurationState state() {
    return state;
  }

  /** Finds the organisation of a bearer key by the key's digest. */
  public Optional<Organisation> organisationByKeyHash(String hash) {
    return Optional.ofNullable(organisationsByKeyHash.get(hash));
  }

  /** Finds the rule of a task. */
  public Optional<Rule> ruleOf(String task) {
    return Optional.ofNullable(rulesByTask.get(task));
  }

  /** Returns the runners that should serve a model, in order of their names. */
  public List<Runner> runnersOf(String model) {
    return runnersByModel.getOrDefault(model, List.of());
  }
}
