package org.dragonflyhill.core.relay;

import java.util.HashSet;
import java.util.Set;

/**
 * The availability zones that an operator has evacuated: their runners get no new requests, and
 * finish those that run.
 *
 * <p>Not thread-safe; no argument may be null.
 */
public final class Evacuations {

  private final Set<String> zones = new HashSet<>();

  /** Begins the evacuation of a zone; returns false if it is evacuated already. */
  public boolean begin(String zone) {
    return zones.add(zone);
  }

  /** Ends the evacuation of a zone; returns false if it is not evacuated. */
  public boolean end(String zone) {
    return zones.remove(zone);
  }

  /** Returns whether a zone is evacuated. */
  public boolean isEvacuated(String zone) {
    return zones.contains(zone);
  }

  /** Returns the evacuated zones. */
  public Set<String> zones() {
    return Set.copyOf(zones);
  }
}
