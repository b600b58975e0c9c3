package org.dragonflyhill.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Checks that the objects of a configuration are sound and refer only to one another.
 *
 * <pre>{@code
 * List<String> faults = ConfigurationCheck.faults(state.objects());
 * }</pre>
 *
 * <p>Stateless and thread-safe; no argument may be null.
 */
public final class ConfigurationCheck {

  private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9.-]{0,62}");
  private static final Pattern KEY_HASH_PATTERN = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern ADDRESS_PATTERN = Pattern.compile("[^:\\s]+:[0-9]{1,5}");

  private final Map<ObjectKey, ConfigurationState.VersionedObject> objects;
  private final List<String> faults = new ArrayList<>();

  private ConfigurationCheck(Map<ObjectKey, ConfigurationState.VersionedObject> objects) {
    this.objects = objects;
  }

  /** Returns every fault, each with the object, the value and what was expected. */
  public static List<String> faults(Map<ObjectKey, ConfigurationState.VersionedObject> objects) {
    ConfigurationCheck check = new ConfigurationCheck(objects);
    objects.values().forEach(versioned -> check.check(versioned.object()));
    return check.faults;
  }

  private void check(ConfigurationObject object) {
    matches(object, "name", object.name(), NAME_PATTERN);
    switch (object) {
      case ConfigurationObject.AvailabilityZone zone ->
          matches(zone, "region", zone.region(), NAME_PATTERN);
      case ConfigurationObject.Organisation organisation -> checkOrganisation(organisation);
      case ConfigurationObject.Model model -> checkModel(model);
      case ConfigurationObject.Runner runner -> checkRunner(runner);
      case ConfigurationObject.Store store -> checkStore(store);
      case ConfigurationObject.Service service -> checkService(service);
      case ConfigurationObject.Application application -> checkApplication(application);
      case ConfigurationObject.Rule rule -> checkRule(rule);
    }
  }

  private void checkOrganisation(ConfigurationObject.Organisation organisation) {
    for (String hash : organisation.keyHashes()) {
      matches(organisation, "keyHashes", hash, KEY_HASH_PATTERN);
    }
    atLeast(organisation, "share", organisation.share(), 1);
    atLeast(organisation, "tokensPerMinute", organisation.tokensPerMinute(), 1);
  }

  private void checkModel(ConfigurationObject.Model model) {
    matches(model, "weightVersion", model.weightVersion(), NAME_PATTERN);
    atLeast(model, "prefillTokensPerSecond", model.prefillTokensPerSecond(), 1);
    atLeast(model, "cacheBytesPerToken", model.cacheBytesPerToken(), 1);
  }

  private void checkRunner(ConfigurationObject.Runner runner) {
    refers(runner, "availabilityZone", ObjectKind.AVAILABILITY_ZONE, runner.availabilityZone());
    refers(runner, "model", ObjectKind.MODEL, runner.model());
    matches(runner, "address", runner.address(), ADDRESS_PATTERN);
    atLeast(runner, "slots", runner.slots(), 1);
    atLeast(runner, "cacheTokens", runner.cacheTokens(), 1);
    atLeast(runner, "linkBytesPerSecond", runner.linkBytesPerSecond(), 1);
  }

  private void checkStore(ConfigurationObject.Store store) {
    refers(store, "availabilityZone", ObjectKind.AVAILABILITY_ZONE, store.availabilityZone());
    matches(store, "address", store.address(), ADDRESS_PATTERN);
    atLeast(store, "capacityBytes", store.capacityBytes(), 1);
    atLeast(store, "linkBytesPerSecond", store.linkBytesPerSecond(), 1);
  }

  private void checkService(ConfigurationObject.Service service) {
    refers(service, "availabilityZone", ObjectKind.AVAILABILITY_ZONE, service.availabilityZone());
    matches(service, "address", service.address(), ADDRESS_PATTERN);
    for (ConfigurationObject.Operation operation : service.operations()) {
      matches(service, "operations.name", operation.name(), NAME_PATTERN);
    }
  }

  private void checkApplication(ConfigurationObject.Application application) {
    refers(application, "organisation", ObjectKind.ORGANISATION, application.organisation());
    refers(
        application,
        "availabilityZone",
        ObjectKind.AVAILABILITY_ZONE,
        application.availabilityZone());
  }

  private void checkRule(ConfigurationObject.Rule rule) {
    matches(rule, "task", rule.task(), NAME_PATTERN);
    atLeast(rule, "deadlineMillis", rule.deadlineMillis(), 1);
    notNegative(rule, "firstTokenWeight", rule.firstTokenWeight());
    notNegative(rule, "recomputeWeight", rule.recomputeWeight());
  }

  private void matches(ConfigurationObject object, String field, String value, Pattern pattern) {
    if (!pattern.matcher(value).matches()) {
      fault(object, field, value, "expected a match of " + pattern);
    }
  }

  private void atLeast(ConfigurationObject object, String field, long value, long minimum) {
    if (value < minimum) {
      fault(object, field, value, "expected at least " + minimum);
    }
  }

  private void notNegative(ConfigurationObject object, String field, double value) {
    if (!(value >= 0) || Double.isInfinite(value)) {
      fault(object, field, value, "expected a finite number of at least 0");
    }
  }

  private void refers(ConfigurationObject object, String field, ObjectKind kind, String name) {
    if (!objects.containsKey(new ObjectKey(kind, name))) {
      fault(object, field, name, "expected the name of an object of kind " + kind);
    }
  }

  private void fault(ConfigurationObject object, String field, Object value, String expected) {
    faults.add(object.key() + "." + field + ": \"" + value + "\": " + expected);
  }
}
