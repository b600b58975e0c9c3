package org.dragonflyhill.standins.replay;

import java.util.Locale;

/** What fails during a replay, from one point of its first peak to the end. */
public enum Fault {
  /** Nothing fails. */
  NONE,
  /** The first store is lost with all it holds. */
  STORE_LOST,
  /** The first runner is lost with its cache and work. */
  RUNNER_LOST,
  /** The links of all stores run at a tenth of their bandwidth. */
  LINK_TENTH,
  /** All runners, stores and nodes of the first availability zone are lost. */
  ZONE_LOST,
  /** The log takes no append, so that no claim can be made. */
  LOG_DOWN,
  /** Load reports come every ten seconds and ten seconds late. */
  STALE_LOAD;

  /** Returns the name used in tables and flags. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
