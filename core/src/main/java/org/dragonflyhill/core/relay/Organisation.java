package org.dragonflyhill.core.relay;

import java.util.OptionalInt;
import java.util.Set;

/**
 * Whose requests these are. Immutable; no component is null.
 *
 * @param name its name
 * @param keys keys that its callers present
 * @param priority rank that goes before the route's, 0 for the most urgent
 * @param isIsolated whether it shares no cache with any other organisation
 */
public record Organisation(
    String name, Set<String> keys, OptionalInt priority, boolean isIsolated) {

  /** Copies the keys. */
  public Organisation {
    keys = Set.copyOf(keys);
  }
}
