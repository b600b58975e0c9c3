package org.dragonflyhill.core.relay;

import java.util.OptionalInt;
import java.util.Set;

/**
 * An organisation whose callers send requests. Immutable; no component is null.
 *
 * @param name name of the organisation
 * @param keys API keys of its callers
 * @param priority priority, 0 for the most urgent; takes precedence over the priority of the route
 * @param isIsolated whether its KV cache is never shared with other organisations
 */
public record Organisation(
    String name, Set<String> keys, OptionalInt priority, boolean isIsolated) {

  /** Creates an organisation with a copy of the keys. */
  public Organisation {
    keys = Set.copyOf(keys);
  }
}
