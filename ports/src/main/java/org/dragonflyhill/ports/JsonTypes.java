package org.dragonflyhill.ports;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.dragonflyhill.core.ClaimEvent;
import org.dragonflyhill.core.ClaimTable;
import org.dragonflyhill.core.ConfigurationObject;
import org.dragonflyhill.core.ObjectKey;

/**
 * Mix-ins that declare the type names by which JSON distinguishes the variants of sealed types.
 * Stateless and thread-safe.
 */
final class JsonTypes {

  private JsonTypes() {}

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
  @JsonSubTypes({
    @JsonSubTypes.Type(
        value = ConfigurationObject.AvailabilityZone.class,
        name = "availability_zone"),
    @JsonSubTypes.Type(value = ConfigurationObject.Organisation.class, name = "organisation"),
    @JsonSubTypes.Type(value = ConfigurationObject.Model.class, name = "model"),
    @JsonSubTypes.Type(value = ConfigurationObject.Runner.class, name = "runner"),
    @JsonSubTypes.Type(value = ConfigurationObject.Store.class, name = "store"),
    @JsonSubTypes.Type(value = ConfigurationObject.Service.class, name = "service"),
    @JsonSubTypes.Type(value = ConfigurationObject.Application.class, name = "application"),
    @JsonSubTypes.Type(value = ConfigurationObject.Rule.class, name = "rule")
  })
  interface ConfigurationMixIn {
    @JsonIgnore
    ObjectKey key();
  }

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
  @JsonSubTypes({
    @JsonSubTypes.Type(value = ClaimEvent.Claimed.class, name = "claimed"),
    @JsonSubTypes.Type(value = ClaimEvent.Settled.class, name = "settled"),
    @JsonSubTypes.Type(value = ClaimEvent.Released.class, name = "released"),
    @JsonSubTypes.Type(value = ClaimEvent.Resolved.class, name = "resolved")
  })
  interface ClaimMixIn {}

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
  @JsonSubTypes({
    @JsonSubTypes.Type(value = ClaimTable.Outcome.Ran.class, name = "ran"),
    @JsonSubTypes.Type(value = ClaimTable.Outcome.ResolvedAsRun.class, name = "resolved_as_run")
  })
  interface OutcomeMixIn {}
}
