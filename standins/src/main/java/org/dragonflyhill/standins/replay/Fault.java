package org.dragonflyhill.standins.replay;

import java.util.Locale;

/** Fault injected into a replay, from a point within the first peak until the end. */
public enum Fault {
  /** No fault. */
  NONE,
  /** The first store is lost with all its pieces. */
  STORE_LOST,
  /** The first runner is lost with its cache and all its requests. */
  RUNNER_LOST,
  /** The links of all stores drop to a tenth of their bandwidth. */
  LINK_TENTH,
  /** All runners, stores and nodes of the first availability zone are lost. */
  ZONE_LOST,
  /** The log accepts no append, so no claim can be made. */
  LOG_DOWN,
  /** Load reports are sent only every ten seconds and arrive ten seconds late. */
  STALE_LOAD;

  /** Returns the name used in tables and result files. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
