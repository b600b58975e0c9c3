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
 * Index of a configuration for the lookups that every request needs.
 *
 * <pre>{@code
 * ConfigurationView view = ConfigurationView.of(state);
 * Optional<Organisation> organisation = view.organisationByKeyHash(hash);
 * }</pre>
 *
 * <p>Immutable and thread-safe; no argument may be null. Built once per state, since building reads
 * all objects.
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

  /** Creates the view of a state. */
  public static ConfigurationView of(ConfigurationState state) {
    return new ConfigurationView(state);
  }

  /** Returns the state that this is a view of. */
  public ConfigurationState state() {
    return state;
  }

  /** Returns the organisation that an API key belongs to, by the SHA-256 digest of the key. */
  public Optional<Organisation> organisationByKeyHash(String hash) {
    return Optional.ofNullable(organisationsByKeyHash.get(hash));
  }

  /** Returns the rule of a task. If several rules name the task, the first by rule name applies. */
  public Optional<Rule> ruleOf(String task) {
    return Optional.ofNullable(rulesByTask.get(task));
  }

  /** Returns the runners configured to serve a model, ordered by name. */
  public List<Runner> runnersOf(String model) {
    return runnersByModel.getOrDefault(model, List.of());
  }
}
