package org.dragonflyhill.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Validates the objects of a configuration: the values of their fields, and that every object they
 * refer to exists.
 *
 * <pre>{@code
 * List<String> errors = ConfigurationValidator.validate(state.objects());
 * }</pre>
 *
 * <p>The error messages are stored with the rejected change and are covered by the digest of the
 * state. Nodes that word them differently compute different digests.
 *
 * <p>Stateless and thread-safe; no argument may be null.
 */
public final class ConfigurationValidator {

  private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9.-]{0,62}");
  private static final Pattern KEY_HASH_PATTERN = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern ADDRESS_PATTERN = Pattern.compile("[^:\\s]+:[0-9]{1,5}");

  private final Map<ObjectKey, ConfigurationState.VersionedObject> objects;
  private final List<String> errors = new ArrayList<>();

  private ConfigurationValidator(Map<ObjectKey, ConfigurationState.VersionedObject> objects) {
    this.objects = objects;
  }

  /** Returns all errors, each with the object, the field, its value and what was expected. */
  public static List<String> validate(Map<ObjectKey, ConfigurationState.VersionedObject> objects) {
    ConfigurationValidator validator = new ConfigurationValidator(objects);
    objects.values().forEach(versioned -> validator.check(versioned.object()));
    return validator.errors;
  }

  private void check(ConfigurationObject object) {
    requireMatch(object, "name", object.name(), NAME_PATTERN);
    switch (object) {
      case ConfigurationObject.AvailabilityZone zone ->
          requireMatch(zone, "region", zone.region(), NAME_PATTERN);
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
      requireMatch(organisation, "keyHashes", hash, KEY_HASH_PATTERN);
    }
    requireAtLeast(organisation, "share", organisation.share(), 1);
    requireAtLeast(organisation, "tokensPerMinute", organisation.tokensPerMinute(), 1);
  }

  private void checkModel(ConfigurationObject.Model model) {
    requireMatch(model, "weightVersion", model.weightVersion(), NAME_PATTERN);
    requireAtLeast(model, "prefillTokensPerSecond", model.prefillTokensPerSecond(), 1);
    requireAtLeast(model, "cacheBytesPerToken", model.cacheBytesPerToken(), 1);
  }

  private void checkRunner(ConfigurationObject.Runner runner) {
    requireReference(
        runner, "availabilityZone", ObjectKind.AVAILABILITY_ZONE, runner.availabilityZone());
    requireReference(runner, "model", ObjectKind.MODEL, runner.model());
    requireMatch(runner, "address", runner.address(), ADDRESS_PATTERN);
    requireAtLeast(runner, "slots", runner.slots(), 1);
    requireAtLeast(runner, "cacheTokens", runner.cacheTokens(), 1);
    requireAtLeast(runner, "linkBytesPerSecond", runner.linkBytesPerSecond(), 1);
  }

  private void checkStore(ConfigurationObject.Store store) {
    requireReference(
        store, "availabilityZone", ObjectKind.AVAILABILITY_ZONE, store.availabilityZone());
    requireMatch(store, "address", store.address(), ADDRESS_PATTERN);
    requireAtLeast(store, "capacityBytes", store.capacityBytes(), 1);
    requireAtLeast(store, "linkBytesPerSecond", store.linkBytesPerSecond(), 1);
  }

  private void checkService(ConfigurationObject.Service service) {
    requireReference(
        service, "availabilityZone", ObjectKind.AVAILABILITY_ZONE, service.availabilityZone());
    requireMatch(service, "address", service.address(), ADDRESS_PATTERN);
    for (ConfigurationObject.Operation operation : service.operations()) {
      requireMatch(service, "operations.name", operation.name(), NAME_PATTERN);
    }
  }

  private void checkApplication(ConfigurationObject.Application application) {
    requireReference(
        application, "organisation", ObjectKind.ORGANISATION, application.organisation());
    requireReference(
        application,
        "availabilityZone",
        ObjectKind.AVAILABILITY_ZONE,
        application.availabilityZone());
  }

  private void checkRule(ConfigurationObject.Rule rule) {
    requireMatch(rule, "task", rule.task(), NAME_PATTERN);
    requireAtLeast(rule, "deadlineMillis", rule.deadlineMillis(), 1);
    requireNotNegative(rule, "firstTokenWeight", rule.firstTokenWeight());
    requireNotNegative(rule, "recomputeWeight", rule.recomputeWeight());
  }

  private void requireMatch(
      ConfigurationObject object, String field, String value, Pattern pattern) {
    if (!pattern.matcher(value).matches()) {
      addError(object, field, value, "expected a match of " + pattern);
    }
  }

  private void requireAtLeast(ConfigurationObject object, String field, long value, long minimum) {
    if (value < minimum) {
      addError(object, field, value, "expected at least " + minimum);
    }
  }

  private void requireNotNegative(ConfigurationObject object, String field, double value) {
    if (!(value >= 0) || Double.isInfinite(value)) {
      addError(object, field, value, "expected a finite number of at least 0");
    }
  }

  private void requireReference(
      ConfigurationObject object, String field, ObjectKind kind, String name) {
    if (!objects.containsKey(new ObjectKey(kind, name))) {
      addError(object, field, name, "expected the name of an object of kind " + kind);
    }
  }

  private void addError(ConfigurationObject object, String field, Object value, String expected) {
    errors.add(object.key() + "." + field + ": \"" + value + "\": " + expected);
  }
}
