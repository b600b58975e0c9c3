package org.dragonflyhill.core.relay;

/**
 * Limits the hedges of this node to a share of its own requests. If each node keeps to the share,
 * all nodes together do, whether or not they hear each other.
 *
 * <p>The budget starts empty and saves no more than {@link #MAX_SAVED} hedges. Over all requests
 * the hedges therefore never exceed the share; over any other period they exceed it by at most the
 * saved ones.
 *
 * <p>Not thread-safe.
 */
final class HedgeBudget {

  /**
   * Maximum number of hedges that are saved while none are sent. A larger number would let all
   * nodes hedge at the same time when the runners slow down together.
   */
  static final double MAX_SAVED = 2;

  /** Tolerance for rounding errors in the sum of the credits. */
  private static final double EPSILON = 1e-9;

  private final double share;
  private double saved;

  /**
   * Creates an empty budget.
   *
   * @param share hedges per request
   */
  HedgeBudget(double share) {
    this.share = share;
  }

  /** Records a request, which earns a part of a hedge. */
  void recordRequest() {
    saved = Math.min(MAX_SAVED, saved + share);
  }

  /** Returns whether a hedge may be sent. */
  boolean isAvailable() {
    return saved >= 1 - EPSILON;
  }

  /** Records that a hedge is sent. */
  void recordHedge() {
    saved--;
  }
}
