package org.dragonflyhill.core;

/** The kinds of {@link ConfigurationObject}. Thread-safe. */
public enum ObjectKind {
  /** Kind of {@link ConfigurationObject.AvailabilityZone}. */
  AVAILABILITY_ZONE,
  /** Kind of {@link ConfigurationObject.Organisation}. */
  ORGANISATION,
  /** Kind of {@link ConfigurationObject.Model}. */
  MODEL,
  /** Kind of {@link ConfigurationObject.Runner}. */
  RUNNER,
  /** Kind of {@link ConfigurationObject.Store}. */
  STORE,
  /** Kind of {@link ConfigurationObject.Service}. */
  SERVICE,
  /** Kind of {@link ConfigurationObject.Application}. */
  APPLICATION,
  /** Kind of {@link ConfigurationObject.Rule}. */
  RULE;

  /** Returns the kind of an object. */
  public static ObjectKind of(ConfigurationObject object) {
    return switch (object) {
      case ConfigurationObject.AvailabilityZone zone -> AVAILABILITY_ZONE;
      case ConfigurationObject.Organisation organisation -> ORGANISATION;
      case ConfigurationObject.Model model -> MODEL;
      case ConfigurationObject.Runner runner -> RUNNER;
      case ConfigurationObject.Store store -> STORE;
      case ConfigurationObject.Service service -> SERVICE;
      case ConfigurationObject.Application application -> APPLICATION;
      case ConfigurationObject.Rule rule -> RULE;
    };
  }
}
