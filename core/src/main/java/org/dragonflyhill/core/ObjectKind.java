package org.dragonflyhill.core;

/** Kinds of objects that the inventory holds. Thread-safe. */
public enum ObjectKind {
  /** Key kind of {@link ConfigurationObject.AvailabilityZone}. */
  AVAILABILITY_ZONE,
  /** Key kind of {@link ConfigurationObject.Organisation}. */
  ORGANISATION,
  /** Key kind of {@link ConfigurationObject.Model}. */
  MODEL,
  /** Key kind of {@link ConfigurationObject.Runner}. */
  RUNNER,
  /** Key kind of {@link ConfigurationObject.Store}. */
  STORE,
  /** Key kind of {@link ConfigurationObject.Service}. */
  SERVICE,
  /** Key kind of {@link ConfigurationObject.Application}. */
  APPLICATION,
  /** Key kind of {@link ConfigurationObject.Rule}. */
  RULE;

  /** Returns the kind of the given object. */
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
