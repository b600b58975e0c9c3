package org.dragonflyhill.core.relay;

import java.util.Locale;

/** Why no second copy of a late request is sent. */
public enum HedgeDenial {
  /** The route permits no further attempt, the deadline has passed, or runners crash under it. */
  NOT_RETRIABLE,
  /** The operator's share of extra requests is used up. */
  SHARE,
  /** The retry budget is used up. */
  RETRY_BUDGET,
  /** A runner of the service limits the rate of requests. */
  RATE_LIMIT,
  /** Requests wait at this node, or the other runner has no room. */
  CAPACITY,
  /** No other runner of the service is open, reachable and answering. */
  NO_RUNNER,
  /** The other runner would compute KV cache that a fetch provides or will provide. */
  RECOMPUTATION,
  /** The copy is not expected to be answered within the time for which both copies may run. */
  TOO_SLOW;

  /** Returns the name for logs and metrics. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
